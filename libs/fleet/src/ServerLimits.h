#ifndef waxwingyoke_fleet_ServerLimits_h
#define waxwingyoke_fleet_ServerLimits_h

#include <cstddef>
#include <memory>

#include <net/RequestMemory.h>
#include <platform/FleetSettings.h>

namespace waxwingyoke::fleet {

/**
 * Largest body at servers whose requests carry none: readiness, metrics and
 * peers.
 */
inline constexpr std::size_t kMaxControlBodyBytes = 64 * 1024;

/** The memory for requests that all servers of this process share. */
std::shared_ptr<net::RequestMemory>
MakeRequestMemory(const platform::FleetSettings& aSettings);

/**
 * The most connections of callers: a request that is served needs a second
 * descriptor, for its upstream.
 */
std::size_t
GetMaxCallerConnections(const platform::FleetSettings& aSettings);

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_ServerLimits_h
