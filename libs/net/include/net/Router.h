#ifndef waxwingyoke_net_Router_h
#define waxwingyoke_net_Router_h

#include <string>
#include <vector>

#include <net/HttpServer.h>

namespace waxwingyoke::net {

/**
 * Selects a handler by method and path. Responds with 404 to an unknown path
 * and with 405 to a known path with another method.
 */
class Router
{
public:
  /** A trailing '*' in aPath matches any suffix; method "*" matches all. */
  Router& Add(std::string aMethod, std::string aPath, HttpHandler aHandler);

  void Handle(const HttpRequest& aRequest, ResponseWriter& aWriter) const;

private:
  struct Route
  {
    std::string method;
    std::string path;
    HttpHandler handler;
  };

  std::vector<Route> routes_;
};

/**
 * Wraps aHandler so that it receives only requests that carry the
 * deployment's secret; others are rejected with Unauthorized and counted.
 */
HttpHandler
RequireSecret(const std::string& aSecret, HttpHandler aHandler);

/** The header field that RequireSecret checks, with its value. */
HttpField
MakeSecretField(const std::string& aSecret);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Router_h
