#ifndef waxwingyoke_net_ResponseStreamImpl_h
#define waxwingyoke_net_ResponseStreamImpl_h

#include <memory>
#include <optional>

#include <net/HttpClient.h>

#include "Await.h"
#include "Beast.h"
#include "ClientConnection.h"

namespace waxwingyoke::net {

struct ResponseStream::Impl
{
  Endpoint peer;
  std::unique_ptr<ClientConnection> connection;
  std::optional<http::response_parser<http::buffer_body>> parser;
  HttpFields fields;
  bool failed = false;
  bool keepConnection = true;
  /** The response has no body, whatever its header states. */
  bool isToHead = false;
  /** A TryRead waits, and whether its wait was ended. */
  bool isWaiting = false;
  bool wasStopped = false;

  /** Reads the header of the next final response on the connection. */
  IoResult ReadHead();
  /** The same, also if the response is an interim one (1xx). */
  IoResult ReadAnyHead();
  bool IsInterim() const;
  /** Whether a response to one of our requests may have this status. */
  bool HasValidStatus() const;
  /** Whether the response broke off within a line and another one followed. */
  bool IsJoined() const;
  /**
   * Reads and discards the body of the response whose header was read; fails if
   * it is longer than aMax bytes.
   */
  IoResult SkipBody(std::size_t aMax);
  /** Reads the next bytes of the body; the caller sets a timeout. */
  ReadResult ReadPart(std::string& aPart, utils::Error& aReason);
  /** Ends the wait of a TryRead. */
  void StopWaiting();
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_ResponseStreamImpl_h
