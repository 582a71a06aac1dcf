#ifndef waxwingyoke_net_HttpServer_h
#define waxwingyoke_net_HttpServer_h

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include <net/Endpoint.h>
#include <net/Http.h>
#include <net/RequestMemory.h>
#include <net/Runtime.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::net {

/**
 * Sends the response to one request: either complete with Send, or as a
 * stream with Start, any number of calls of Write, and Finish. If a response
 * was started but not finished, the connection is closed within the body, so
 * that the caller cannot take it for a complete one.
 */
class ResponseWriter
{
public:
  virtual ~ResponseWriter() = default;

  /** This and the next three return false if the caller is disconnected. */
  virtual bool Send(const HttpResponse& aResponse) = 0;
  virtual bool Start(int aStatus, const HttpFields& aFields) = 0;
  virtual bool Write(std::string_view aPart) = 0;
  virtual bool Finish() = 0;

  /**
   * Whether the caller has closed its connection. One that has closed only its
   * sending direction counts as closed too: the two can't be told apart, and
   * upstreams must stop working for callers that have left.
   */
  virtual bool IsPeerDisconnected() = 0;

  /** Whether Send or Start was called. */
  virtual bool IsStarted() const = 0;

  /**
   * Sets a hook that is called once if the caller closes its connection
   * before the handler returns; a later call replaces the hook. The hook must
   * not suspend. A writer without a connection of its own never calls it.
   */
  virtual void SetDisconnectHook(std::function<void()> aHook);
};

/**
 * Limits on callers and their requests; may change while the server runs. A
 * longer time holds for waits that have begun, a shorter one from the next on.
 */
struct HttpLimits
{
  std::size_t bodyBytes = 8 << 20;
  /** Of a header, and likewise of trailers or of the line before a chunk. */
  std::uint32_t headerBytes = 16 << 10;
  /**
   * How long a connection may stay idle between two requests. Responses state
   * it in whole seconds; a shorter one that comes after a response's head does
   * not shorten the time that this response has stated.
   */
  utils::Millis idle{ 60000 };
  /** From a request's first byte to the end of its header, and again from
   * there to the end of its body. */
  utils::Millis header{ 60000 };
};

using HttpHandler =
  std::function<void(const HttpRequest& aRequest, ResponseWriter& aWriter)>;

/**
 * Serves HTTP/1.1 on one endpoint. Each connection has a fiber of its own;
 * connections are assigned to the runtime's threads in round-robin order.
 *
 *     auto server = HttpServer::Builder(runtime)
 *                     .SetEndpoint(endpoint)
 *                     .SetHandler(handler)
 *                     .Build(reason);
 */
class HttpServer
{
public:
  struct Options;
  class Builder;

  ~HttpServer();

  /**
   * Stops accepting connections and closes the idle ones. Requests that have
   * arrived, also those that are not read yet, are still served. So is one that
   * arrives within a second on a new connection, or after a response that began
   * before the close and kept its connection.
   */
  void Close();

  /**
   * The number of requests that are being read or served, of connections
   * whose first request is awaited or whose next one is after the close, and of
   * those that end and whose caller has not received the response yet.
   */
  std::size_t GetActiveCount() const;

private:
  struct Impl;
  explicit HttpServer(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> impl_;
};

struct HttpServer::Options
{
  Endpoint endpoint;
  HttpHandler handler;
  HttpLimits limits;
  /** If set, called for each wait and request and used in place of `limits`. */
  std::function<HttpLimits()> currentLimits;
  /**
   * Bounds what requests hold, together with those of other servers. A request
   * waits a second for it, then is refused with 503. Null: no bound.
   */
  std::shared_ptr<RequestMemory> memory;
  /** Connections above this number are refused with 503. */
  std::size_t maxConnections = 20000;
  /** Whether responses ask the caller to close its connection; called for
   * each response. */
  std::function<bool()> isLeaving;
  /** How long a write may wait for a caller that does not read. */
  utils::Millis writeTimeout{ 20000 };
};

class HttpServer::Builder
{
public:
  explicit Builder(Runtime& aRuntime);

  Builder& SetEndpoint(Endpoint aEndpoint);
  Builder& SetHandler(HttpHandler aHandler);
  Builder& SetMaxBodyBytes(std::size_t aBytes);
  Builder& SetMemory(std::shared_ptr<RequestMemory> aMemory);
  Builder& SetMaxConnections(std::size_t aCount);
  Builder& SetIdleTimeout(utils::Millis aTime);
  Builder& SetCurrentLimits(std::function<HttpLimits()> aLimits);
  Builder& SetLeaving(std::function<bool()> aIsLeaving);
  Builder& SetWriteTimeout(utils::Millis aTime);

  /** Binds and starts; null with a reason if the port is not available. */
  std::unique_ptr<HttpServer> Build(utils::Error& aReason);

private:
  Runtime& runtime_;
  Options options_;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_HttpServer_h
