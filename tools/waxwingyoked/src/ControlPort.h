#ifndef waxwingyoke_waxwingyoked_ControlPort_h
#define waxwingyoke_waxwingyoked_ControlPort_h

#include <memory>

#include <net/HttpServer.h>
#include <net/Router.h>
#include <rpc/RpcServer.h>

#include "DaemonContext.h"
#include "Role.h"

namespace waxwingyoke::daemon {

/**
 * HTTP server of the control port. RPCs and the role's routes require the
 * deployment's secret; /healthz, /readyz and /metrics are open to the load
 * balancer and the metrics collector. Owned by main.
 */
class ControlPort
{
public:
  ControlPort(const DaemonContext& aContext, Role& aRole);

  /** Opens the port; false with aReason set if that fails. */
  bool Start(utils::Error& aReason);
  void Close();

private:
  /** Adds the open routes and passes the rest on behind the secret. */
  void AddRootRoutes();

  const DaemonContext& context_;
  Role& role_;
  rpc::RpcServer rpcServer_;
  net::Router authenticatedRouter_;
  net::Router rootRouter_;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace waxwingyoke::daemon

#endif // waxwingyoke_waxwingyoked_ControlPort_h
