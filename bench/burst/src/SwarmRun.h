#ifndef waxwingyoke_burst_SwarmRun_h
#define waxwingyoke_burst_SwarmRun_h

#include "Options.h"
#include "Report.h"

namespace waxwingyoke::burst {

/** Publishes a version to the product's daemons and measures its
 * distribution. */
WayResult
RunSwarm(const Options& aOptions);

} // namespace waxwingyoke::burst

#endif // waxwingyoke_burst_SwarmRun_h
