#ifndef waxwingyoke_dispatch_RegionRules_h
#define waxwingyoke_dispatch_RegionRules_h

#include <optional>
#include <set>
#include <string>

#include <platform/FleetConfig.h>

namespace waxwingyoke::dispatch {

/**
 * Regions in which a request may run. Empty optional: any, the request is not
 * bound; empty set: none, the request is closed.
 */
using RegionSet = std::optional<std::set<std::string>>;

/** Those of aRegions that aList allows as well. */
RegionSet
CombineRegions(const RegionSet& aRegions,
               const std::optional<platform::RegionList>& aList);

/** Whether a request that is bound to aRegions may run nowhere. */
bool
IsClosed(const RegionSet& aRegions);

/**
 * Whether a request that is bound to aRegions may run in aRegion. An empty name
 * stands for an unknown region, where no bound request may run.
 */
bool
IsAllowed(const RegionSet& aRegions, const std::string& aRegion);

/** Whether requests bound to them may run at the same upstream. */
bool
Overlap(const RegionSet& aLeft, const RegionSet& aRight);

/** Their names, comma separated; empty if not bound. */
std::string
JoinRegions(const RegionSet& aRegions);

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_RegionRules_h
