#ifndef waxwingyoke_waxwingyoked_ControlPort_h
#define waxwingyoke_waxwingyoked_ControlPort_h

#include <memory>

#include <net/HttpServer.h>
#include <net/Router.h>
#include <rpc/RpcServer.h>

#include "Process.h"
#include "Role.h"

namespace waxwingyoke::daemon {

/**
 * The port for other processes of ours, behind the secret, and for the
 * balancer and the metrics' reader, open. Owned by main.
 */
class ControlPort
{
public:
  ControlPort(const Process& aProcess, Role& aRole);

  bool Start(utils::Error& aReason);
  void Close();

private:
  void AddOpenRoutes();

  const Process& process_;
  Role& role_;
  rpc::RpcServer rpcServer_;
  net::Router inner_;
  net::Router outer_;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace waxwingyoke::daemon

#endif // waxwingyoke_waxwingyoked_ControlPort_h
