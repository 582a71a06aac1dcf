#ifndef waxwingyoke_burst_Report_h
#define waxwingyoke_burst_Report_h

#include <string>
#include <vector>

#include "Options.h"

namespace waxwingyoke::burst {

/** Result of one way (swarm, origin or chain) of distributing a version. */
struct WayResult
{
  std::string way;
  /** Time until all surviving VMs served the version; negative if not all
   * did. */
  std::int64_t timeToAllMs = -1;
  /** Bytes sent by the store and the origin, in copies of the version. */
  double originCopies = 0;
  /** Copies over the busiest VM's link, upload and download together. */
  double maxLinkCopies = 0;
  /** Copies transferred between regions, by VMs or from the origin, which is
   * in one region. */
  double interRegionCopies = 0;
  /** Number of surviving VMs that do not serve the version. */
  std::size_t failed = 0;
  /** Load orders whose source was incomplete or wrong. */
  std::size_t violations = 0;
};

/** Formats one line of JSON: the first way's figures, then all ways as a
 * list. */
std::string
MakeReport(const Options& aOptions, const std::vector<WayResult>& aResults);

} // namespace waxwingyoke::burst

#endif // waxwingyoke_burst_Report_h
