#include "ClientConnection.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <utility>
#include <vector>

#include <netinet/tcp.h>

#include <utils/Hash.h>

#include "Await.h"
#include "RuntimeImpl.h"

namespace waxwingyoke::net {

namespace {

using utils::ErrorKind;

constexpr std::size_t kMaxIdlePerPeer = 64;
// Bounds the memory of a connection that is kept.
constexpr std::size_t kMaxRequestIds = 1000;
// Fraction of the peer's announced keep-alive timeout for which an idle
// connection is reused, so that a request does not cross the peer's close.
constexpr double kKeepAliveShare = 0.8;

using Idle = std::map<Endpoint, std::vector<std::unique_ptr<ClientConnection>>>;

// Idle connections are kept per thread, as each is bound to its thread's loop.
Idle&
GetIdle()
{
  thread_local Idle tIdle;
  return tIdle;
}

// Reads "timeout=5" of the field Keep-Alive; the default if it has none.
utils::Millis
ReadMaxIdle(std::string_view aKeepAlive)
{
  constexpr std::string_view kTimeout = "timeout=";
  auto at = aKeepAlive.find(kTimeout);
  if (at == std::string_view::npos) {
    return kMaxIdleTime;
  }
  std::string digits(aKeepAlive.substr(at + kTimeout.size()));
  auto seconds = std::strtoul(digits.c_str(), nullptr, 10);
  auto kept = static_cast<std::int64_t>(seconds * 1000 * kKeepAliveShare);
  return std::min(utils::Millis(kept), kMaxIdleTime);
}

// Binds the address alone and leaves the port to connect, which can use one
// local port for several peers. Ports reserved by bind would run out early in
// a busy process.
void
BindTo(Tcp::socket& aSocket,
       const std::string& aAddress,
       beast::error_code& aError)
{
  auto address = asio::ip::make_address(aAddress, aError);
  if (aError || address.is_unspecified()) {
    return;
  }
  Tcp::endpoint native(address, 0);
  aSocket.open(native.protocol(), aError);
  if (!aError) {
    int one = 1;
    setsockopt(aSocket.native_handle(),
               IPPROTO_IP,
               IP_BIND_ADDRESS_NO_PORT,
               &one,
               sizeof(one));
    aSocket.bind(native, aError);
  }
}

void
SetUserTimeout(Tcp::socket& aSocket, utils::Millis aLimit)
{
  if (aLimit == utils::Millis(0)) {
    return;
  }
  auto milliseconds = static_cast<unsigned>(aLimit.value);
  setsockopt(aSocket.native_handle(),
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &milliseconds,
             sizeof(milliseconds));
}

} // namespace

void
SetIoError(beast::error_code aError, const char* aStep, utils::Error& aReason)
{
  auto kind = aError == beast::error::timeout ? ErrorKind::TimedOut
                                              : ErrorKind::ConnectionLost;
  aReason.Set(kind, std::string(aStep) + ": " + aError.message());
}

std::unique_ptr<ClientConnection>
TakeIdle(const Endpoint& aPeer,
         utils::Millis aNow,
         const std::string& aRequestId)
{
  auto& idle = GetIdle()[aPeer];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    bool fresh =
      aNow - connection->idleSince < connection->maxIdle &&
      !connection->requestIds.contains(utils::StableHash(aRequestId));
    // Unsolicited bytes would be read as the response to the next request.
    if (fresh && IsIdle(connection->stream.socket())) {
      connection->reused = true;
      return connection;
    }
  }
  return nullptr;
}

void
KeepIdle(const Endpoint& aPeer,
         std::unique_ptr<ClientConnection> aConnection,
         std::string_view aKeepAlive)
{
  aConnection->maxIdle = ReadMaxIdle(aKeepAlive);
  auto& idle = GetIdle()[aPeer];
  bool clean = aConnection->buffer.size() == 0 &&
               aConnection->requestIds.size() < kMaxRequestIds;
  if (clean && idle.size() < kMaxIdlePerPeer) {
    aConnection->stream.expires_never();
    aConnection->idleSince = utils::Clock().Now();
    idle.push_back(std::move(aConnection));
  }
}

std::unique_ptr<ClientConnection>
Connect(const ConnectSettings& aSettings,
        const Endpoint& aPeer,
        utils::Millis aTimeout,
        utils::Error& aReason,
        CallCanceller* aCanceller,
        const std::function<void(beast::tcp_stream&)>& aOnStart)
{
  const auto& aLocalAddress = aSettings.localAddress;
  beast::error_code error;
  auto address = asio::ip::make_address(aPeer.address, error);
  auto connection = std::make_unique<ClientConnection>(GetThreadIo());
  if (aOnStart) {
    aOnStart(connection->stream);
  }
  if (!error && !aLocalAddress.empty()) {
    BindTo(connection->stream.socket(), aLocalAddress, error);
  }
  if (!error) {
    connection->stream.expires_after(aTimeout.ToChrono());
    Tcp::endpoint native(address, aPeer.port);
    error = Await([&](auto aHandler) {
              connection->stream.async_connect(native, std::move(aHandler));
            }).error;
  }
  if (!error && aCanceller != nullptr && aCanceller->IsCancelled()) {
    error = asio::error::operation_aborted;
  }
  if (error) {
    aReason.Set(ErrorKind::ConnectFailed,
                aPeer.ToString() + ": " + error.message());
    return nullptr;
  }
  connection->stream.socket().set_option(Tcp::no_delay(true), error);
  SetUserTimeout(connection->stream.socket(), aSettings.unacknowledgedLimit);
  return connection;
}

} // namespace waxwingyoke::net
