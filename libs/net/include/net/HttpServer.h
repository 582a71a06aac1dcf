#ifndef waxwingyoke_net_HttpServer_h
#define waxwingyoke_net_HttpServer_h

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include <net/Endpoint.h>
#include <net/Http.h>
#include <net/Runtime.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::net {

/**
 * Takes the answer to one request: either whole by Send, or a head by Start,
 * any number of parts by Write, and Finish. An answer that was started and
 * not finished ends with a cut connection, never as if it were whole.
 */
class ResponseWriter
{
public:
  virtual ~ResponseWriter() = default;

  /** False if the caller is gone, here and below. */
  virtual bool Send(const HttpResponse& aResponse) = 0;
  virtual bool Start(int aStatus, const HttpFields& aFields) = 0;
  virtual bool Write(std::string_view aPart) = 0;
  virtual bool Finish() = 0;

  /** Whether the caller has closed its connection. */
  virtual bool IsPeerGone() = 0;

  /** Whether Send or Start was called. */
  virtual bool IsStarted() const = 0;

  /**
   * Calls aHook once if the caller closes its connection before the handler
   * ends; a later call replaces the hook. The hook must not suspend. A writer
   * that has no connection of its own never calls it.
   */
  virtual void OnPeerGone(std::function<void()> aHook);
};

/** What a server takes from callers; may change while it runs. */
struct HttpLimits
{
  std::size_t bodyBytes = 8 << 20;
  std::uint32_t headerBytes = 16 << 10;
  /** A connection between two requests that stays silent. */
  utils::Millis idle{ 60000 };
  /** From a request's first byte to the end of its head, and again to the
   * end of its body. */
  utils::Millis header{ 60000 };
};

using HttpHandler =
  std::function<void(const HttpRequest& aRequest, ResponseWriter& aWriter)>;

/**
 * Serves HTTP/1.1 on one endpoint; a fiber for each connection, the
 * connections dealt to the runtime's threads in turn.
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

  /** Takes no new connections and closes the idle ones. */
  void Close();

  /** Requests whose handlers run now. */
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
  /** Asked at each request where set, in place of `limits`. */
  std::function<HttpLimits()> currentLimits;
  std::size_t maxConnections = 20000;
  /** Whether answers tell the caller to close; asked at each answer. */
  std::function<bool()> isLeaving;
  /** A caller that does not read what is written to it. */
  utils::Millis writeTimeout{ 20000 };
};

class HttpServer::Builder
{
public:
  explicit Builder(Runtime& aRuntime);

  Builder& SetEndpoint(Endpoint aEndpoint);
  Builder& SetHandler(HttpHandler aHandler);
  Builder& SetMaxBodyBytes(std::size_t aBytes);
  Builder& SetMaxConnections(std::size_t aCount);
  Builder& SetIdleTimeout(utils::Millis aTime);
  Builder& SetCurrentLimits(std::function<HttpLimits()> aLimits);
  Builder& SetLeaving(std::function<bool()> aIsLeaving);
  Builder& SetWriteTimeout(utils::Millis aTime);

  /** Binds and starts; empty with a reason if the port can't be had. */
  std::unique_ptr<HttpServer> Build(utils::Error& aReason);

private:
  Runtime& runtime_;
  Options options_;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_HttpServer_h
