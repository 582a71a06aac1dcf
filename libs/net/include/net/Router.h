#ifndef waxwingyoke_net_Router_h
#define waxwingyoke_net_Router_h

#include <string>
#include <vector>

#include <net/HttpServer.h>

namespace waxwingyoke::net {

/**
 * Picks a handler by method and path. An unknown path is answered 404, a
 * known path with another method 405.
 */
class Router
{
public:
  /** aPath ending in '*' takes every path that begins so. */
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
 * Lets only requests through that carry the deployment's secret; the others
 * are refused and counted.
 */
HttpHandler
RequireSecret(const std::string& aSecret, HttpHandler aHandler);

/** The field that RequireSecret looks for, with its value. */
HttpField
MakeSecretField(const std::string& aSecret);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Router_h
