#ifndef waxwingyoke_waxwingyoked_Role_h
#define waxwingyoke_waxwingyoked_Role_h

#include <memory>

#include <net/Router.h>
#include <rpc/RpcServer.h>
#include <utils/Error.h>

#include "Process.h"

namespace waxwingyoke::daemon {

/** The job of a daemon: entry or side. Owned by main. */
class Role
{
public:
  virtual ~Role() = default;

  /** What it serves on the control port, behind the secret. */
  virtual void AddRoutes(net::Router& aRouter) = 0;
  virtual void AddMethods(rpc::RpcServer& aServer) = 0;

  /** Opens its own ports and starts its fibers. */
  virtual bool Start(utils::Error& aReason) = 0;

  /** Whether the balancer may send it callers. */
  virtual bool IsReady() const = 0;

  /** Takes no new work; returns when what runs is finished. */
  virtual void Drain() = 0;
};

std::unique_ptr<Role>
MakeEntryRole(const Process& aProcess);

std::unique_ptr<Role>
MakeSideRole(const Process& aProcess);

} // namespace waxwingyoke::daemon

#endif // waxwingyoke_waxwingyoked_Role_h
