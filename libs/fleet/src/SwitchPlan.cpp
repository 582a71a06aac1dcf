#include "SwitchPlan.h"

#include <algorithm>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Of the limit: the latest order. Work that began before the limit may end
// after it, so an upstream may be ordered until nothing new is sent to its old
// version.
constexpr double kLastOrder = 0.85;

// Of the upstreams: enough that these bear most of the load while the others
// serve nothing, and no more, as the staging of the newer version waits for
// them. Worked out in StagingTest, measured in docs/design/platform.md.
constexpr double kSupersededShare = 2.0 / 3;

double
GetPlace(const SwitchTerms& aTerms)
{
  return static_cast<double>(aTerms.rank) /
         static_cast<double>(std::max<std::size_t>(aTerms.sides, 1));
}

} // namespace

// An upstream that is ordered takes nothing until its work has ended. Evenly
// spread over the time that is left, as few as possible are out at once.
Millis
PlanSwitch(const SwitchTerms& aTerms)
{
  if (aTerms.idle) {
    return Millis(0);
  }
  auto left = static_cast<double>(aTerms.limit.value) * kLastOrder -
              static_cast<double>(aTerms.age.value);
  return Millis(
    static_cast<std::int64_t>(std::max(left, 0.0) * GetPlace(aTerms)));
}

// The newer version may come to lie here only after the limit of the oldest;
// those that still hold that one then serve nothing. Each load costs the time
// in which running work ends, so not all take both.
bool
IsWorthFinishing(const SupersededVersion& aVersion)
{
  return aVersion.isInFleet && (!aVersion.isOriginAnswering ||
                                GetPlace(aVersion.turn) < kSupersededShare);
}

} // namespace waxwingyoke::fleet
