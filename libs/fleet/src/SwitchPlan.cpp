#include "SwitchPlan.h"

#include <algorithm>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Share of the limit at which the last load is ordered. Work that began before
// the limit may end after it, so an upstream may be ordered to load as long as
// new work is still sent to its old version.
constexpr double kLastOrderShare = 0.85;

// Share of the upstreams that load a superseded version: enough to carry most
// of the traffic while the others serve nothing, and no more, as the staging of
// the newer version waits for them. See StagingTest and
// docs/design/platform.md.
constexpr double kSupersededShare = 2.0 / 3;

double
GetRelativeRank(const SwitchOptions& aOptions)
{
  return static_cast<double>(aOptions.rank) /
         static_cast<double>(std::max<std::size_t>(aOptions.sides, 1));
}

} // namespace

// After the order an upstream accepts no work until its running work has ended
// and the load is complete. The orders are spread evenly over the remaining
// time to keep the number of upstreams that are unavailable at once low.
Millis
ComputeSwitchDelay(const SwitchOptions& aOptions)
{
  if (aOptions.idle) {
    return Millis(0);
  }
  auto left = static_cast<double>(aOptions.limit.value) * kLastOrderShare -
              static_cast<double>(aOptions.age.value);
  return Millis(
    static_cast<std::int64_t>(std::max(left, 0.0) * GetRelativeRank(aOptions)));
}

// The newer version may be staged only after the limit of the version that the
// upstreams serve now. An upstream that skips the superseded version then
// serves nothing until it has loaded the newer one. As each load costs the time
// in which running work ends, not all upstreams load both.
bool
IsWorthFinishing(const SupersededVersion& aVersion)
{
  return aVersion.isInFleet &&
         (!aVersion.isOriginAnswering ||
          GetRelativeRank(aVersion.switchOptions) < kSupersededShare);
}

} // namespace waxwingyoke::fleet
