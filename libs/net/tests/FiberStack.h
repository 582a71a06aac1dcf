#ifndef waxwingyoke_net_FiberStack_h
#define waxwingyoke_net_FiberStack_h

#include <functional>

#include <net/Runtime.h>
#include <utils/Time.h>

namespace waxwingyoke::net {

/**
 * Runs a test on a fiber, whose stack is smaller than a thread's. Runtime::Run
 * itself runs its function on the thread's stack.
 *
 * With the address sanitizer it runs there too: an exception that is thrown on
 * a fiber's stack, which the sanitizer doesn't know, leaves marks of the frames
 * that it has left, and later writes to them are reported.
 */
inline void
RunOnFiber(const std::function<void()>& aTest)
{
  constexpr utils::Millis kPollInterval(1);
  Runtime runtime(1);
  runtime.Run([&] {
#ifdef __SANITIZE_ADDRESS__
    aTest();
#else
    bool ended = false;
    Runtime::SpawnHere([&] {
      aTest();
      ended = true;
    });
    while (!ended) {
      Runtime::Sleep(kPollInterval);
    }
#endif
    return 0;
  });
}

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_FiberStack_h
