#ifndef waxwingyoke_net_Await_h
#define waxwingyoke_net_Await_h

#include <cstddef>

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace waxwingyoke::net {

/** The result of an asynchronous operation. */
struct IoResult
{
  boost::system::error_code error;
  std::size_t bytes = 0;
};

/**
 * Starts an asynchronous operation and suspends the calling fiber until it is
 * done. aStart receives the completion handler. The operation must run on the
 * calling thread's loop, so that handler and fiber never run concurrently.
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
