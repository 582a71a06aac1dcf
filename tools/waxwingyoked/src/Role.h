#ifndef waxwingyoke_waxwingyoked_Role_h
#define waxwingyoke_waxwingyoked_Role_h

#include <memory>

#include <net/Router.h>
#include <rpc/RpcServer.h>
#include <utils/Error.h>

#include "DaemonContext.h"

namespace waxwingyoke::daemon {

/** What the daemon runs as: entry or side. Owned by main. */
class Role
{
public:
  virtual ~Role() = default;

  /** Adds the routes of the control port that require the secret. */
  virtual void AddRoutes(net::Router& aRouter) = 0;
  /** Adds the RPC methods of the control port. */
  virtual void AddMethods(rpc::RpcServer& aServer) = 0;

  /**
   * Opens the role's own ports and starts its fibers; false with aReason set
   * if a port can't be opened.
   */
  virtual bool Start(utils::Error& aReason) = 0;

  /** Whether the load balancer may send callers' requests. */
  virtual bool IsReady() const = 0;

  /** Refuses new requests; returns once running ones have finished. */
  virtual void Drain() = 0;
};

std::unique_ptr<Role>
MakeEntryRole(const DaemonContext& aContext);

std::unique_ptr<Role>
MakeSideRole(const DaemonContext& aContext);

} // namespace waxwingyoke::daemon

#endif // waxwingyoke_waxwingyoked_Role_h
