#include "SwitchPlan.h"

#include <algorithm>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Of the limit: the latest order. Work that began before the limit may end
// after it, so an upstream may be ordered until nothing new is sent to its old
// version.
constexpr double kLastOrder = 0.85;

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
  double share = static_cast<double>(aTerms.rank) /
                 static_cast<double>(std::max<std::size_t>(aTerms.sides, 1));
  return Millis(static_cast<std::int64_t>(std::max(left, 0.0) * share));
}

} // namespace waxwingyoke::fleet
