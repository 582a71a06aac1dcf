#ifndef waxwingyoke_burst_Report_h
#define waxwingyoke_burst_Report_h

#include <string>
#include <vector>

#include "Options.h"

namespace waxwingyoke::burst {

/** What one way came to. */
struct WayResult
{
  std::string way;
  /** Until the last surviving VM's engine served; negative: it never did. */
  std::int64_t timeToAllMs = -1;
  /** Copies that left the store and the origin. */
  double originCopies = 0;
  /** Copies over the busiest VM's link, up and down together. */
  double maxLinkCopies = 0;
  /** Copies that crossed from one region into another, between VMs or from
   * the origin, which stands in one region. */
  double interRegionCopies = 0;
  /** Surviving VMs that do not serve the version. */
  std::size_t failed = 0;
  /** Orders that an engine refused as incomplete or wrong. */
  std::size_t violations = 0;
};

/** One line of JSON, of the first way with all ways as a list. */
std::string
MakeReport(const Options& aOptions, const std::vector<WayResult>& aResults);

} // namespace waxwingyoke::burst

#endif // waxwingyoke_burst_Report_h
