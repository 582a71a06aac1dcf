#ifndef waxwingyoke_net_ClientConnection_h
#define waxwingyoke_net_ClientConnection_h

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <net/Endpoint.h>
#include <net/HttpClient.h>
#include <utils/Time.h>

#include "Beast.h"

// The client's connections: how they are made, kept while idle and reused.

namespace waxwingyoke::net {

/**
 * Shorter than the server's idle timeout, so that the server rarely closes
 * first.
 */
inline constexpr utils::Millis kMaxIdleTime(15000);
/**
 * Bytes of a connection that are read but not parsed yet. Bounds parts of a
 * message that the parser needs in one piece, such as the line before a chunk.
 */
inline constexpr std::size_t kMaxBufferedBytes = 64 * 1024;

/** One connection of a client; bound to the loop of the thread that made it. */
struct ClientConnection
{
  explicit ClientConnection(asio::io_context& aIo)
    : stream(aIo)
  {
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{ kMaxBufferedBytes };
  bool reused = false;
  /** Hashes of the ids of the requests that it has carried. */
  std::set<std::uint64_t> requestIds;
  utils::Millis idleSince;
  utils::Millis maxIdle = kMaxIdleTime;
};

/** The local address of a connection and when it counts as broken. */
struct ConnectSettings
{
  std::string localAddress;
  utils::Millis unacknowledgedLimit;
};

/** Sets the kind of error that a failed step of an exchange is reported as. */
void
SetIoError(beast::error_code aError, const char* aStep, utils::Error& aReason);

/**
 * An idle connection to aPeer that can be reused and has carried no request
 * with this id; null if there is none. Closes those that it passes over.
 */
std::unique_ptr<ClientConnection>
TakeIdle(const Endpoint& aPeer,
         utils::Millis aNow,
         const std::string& aRequestId);

/**
 * Keeps a connection for the next request to aPeer. aKeepAlive is the field
 * Keep-Alive of the last response, empty if it had none.
 */
void
KeepIdle(const Endpoint& aPeer,
         std::unique_ptr<ClientConnection> aConnection,
         std::string_view aKeepAlive);

/**
 * Connects to aPeer; null with ConnectFailed on failure. Calls aOnStart with
 * the stream before it waits.
 */
std::unique_ptr<ClientConnection>
Connect(const ConnectSettings& aSettings,
        const Endpoint& aPeer,
        utils::Millis aTimeout,
        utils::Error& aReason,
        CallCanceller* aCanceller = nullptr,
        const std::function<void(beast::tcp_stream&)>& aOnStart = {});

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_ClientConnection_h
