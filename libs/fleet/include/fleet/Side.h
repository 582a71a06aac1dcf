#ifndef waxwingyoke_fleet_Side_h
#define waxwingyoke_fleet_Side_h

#include <memory>

#include <fleet/Entry.h>
#include <platform/UpstreamCalls.h>

namespace waxwingyoke::fleet {

/**
 * The sidecar process beside one upstream. Updates the upstream to the newest
 * weights, exchanges pieces of weights with other sides and reports the
 * upstream's state to the entries. Owned by main; uses one thread.
 */
class Side
{
public:
  Side(net::Runtime& aRuntime,
       const platform::FleetSettings& aSettings,
       FleetPorts aPorts,
       platform::LocalUpstream& aUpstream,
       platform::WeightOrigin& aOrigin);
  ~Side();

  /** Opens the ports and starts the background fibers. */
  bool Start(utils::Error& aReason);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_Side_h
