#ifndef waxwingyoke_fleet_Side_h
#define waxwingyoke_fleet_Side_h

#include <memory>

#include <fleet/Entry.h>
#include <platform/UpstreamCalls.h>

namespace waxwingyoke::fleet {

/**
 * Keeps the upstream on its VM on the newest weights and tells the entries
 * how it is. Owned by main; one thread.
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

  bool Start(utils::Error& aReason);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_Side_h
