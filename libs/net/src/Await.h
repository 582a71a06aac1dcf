#ifndef waxwingyoke_net_Await_h
#define waxwingyoke_net_Await_h

#include <cstddef>

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace waxwingyoke::net {

/** What an asynchronous operation came to. */
struct IoResult
{
  boost::system::error_code error;
  std::size_t bytes = 0;
};

/**
 * Starts an asynchronous operation and suspends the fiber until it is done.
 * aStart gets the handler to pass on. The operation's loop must be that of
 * the calling thread: handler and fiber then never run at the same time.
 */
template<typename Start>
IoResult
Await(Start aStart)
{
  IoResult result;
  bool done = false;
  auto* waiting = boost::fibers::context::active();
  aStart([&result, &done, waiting](boost::system::error_code aError,
                                   std::size_t aBytes = 0) {
    result.error = aError;
    result.bytes = aBytes;
    done = true;
    boost::fibers::context::active()->schedule(waiting);
  });
  while (!done) {
    waiting->suspend();
  }
  return result;
}

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Await_h
