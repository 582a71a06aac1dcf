#ifndef waxwingyoke_net_ConnectionEnds_h
#define waxwingyoke_net_ConnectionEnds_h

#include <cstddef>
#include <string>
#include <string_view>

namespace waxwingyoke::net {

/** Why a caller's connection ended without a complete response. */
enum class ConnectionEnd
{
  /** No request arrived within the idle limit. */
  IdleLimit,
  /** A request's header or body did not arrive in time. */
  RequestLate,
  /** The caller closed within its request or before the response's end. */
  PeerClosed,
  /** The request was broken or too large, and was refused. */
  RequestRefused,
  /** Refused, as other requests held the memory for its body. */
  NoMemory,
  /** The refusal of a request could not be written. */
  RefusalUnwritten,
  /** The handler did not finish the response, or it could not be written. */
  ResponseUnfinished,
  /** The server closed while the connection waited for a request. */
  Shutdown,
  /** Refused, as there were too many connections. */
  TooMany
};

/** The request on which a connection ended. */
struct EndedRequest
{
  /** Empty if the header was not read. */
  std::string_view target;
  /** Bytes of the request that were read. */
  std::size_t bytes = 0;
  std::string reason;
  /** Bytes that had arrived and were not read when the server closed. */
  std::size_t unreadBytes = 0;
};

/**
 * Counts the end of a connection, also among those with unread bytes, and logs
 * it unless an end of that kind was logged within the last second. Safe from
 * every thread.
 */
void
RecordEnd(ConnectionEnd aEnd, const EndedRequest& aRequest);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_ConnectionEnds_h
