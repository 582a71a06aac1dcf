#ifndef waxwingyoke_net_AwaitFor_h
#define waxwingyoke_net_AwaitFor_h

#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <utils/Time.h>

#include "Await.h"
#include "Beast.h"

namespace waxwingyoke::net {

/**
 * Awaits an operation on a socket for aTime at most. The time's end cancels the
 * socket's operations and is reported as beast::error::timeout; the socket
 * stays open, and bytes that it holds by then can still be read.
 */
template<typename Start>
IoResult
AwaitFor(Tcp::socket& aSocket, utils::Millis aTime, Start aStart)
{
  // Outlives this call in the timer's handler.
  struct State
  {
    bool isDone = false;
    bool hasExpired = false;
  };
  auto state = std::make_shared<State>();
  asio::steady_timer timer(aSocket.get_executor(), aTime.ToChrono());
  timer.async_wait([state, &aSocket](beast::error_code aError) {
    if (!aError && !state->isDone) {
      state->hasExpired = true;
      beast::error_code ignored;
      aSocket.cancel(ignored);
    }
  });
  auto result = Await(std::move(aStart));
  state->isDone = true;
  if (state->hasExpired && result.error == asio::error::operation_aborted) {
    result.error = beast::error::timeout;
  }
  return result;
}

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_AwaitFor_h
