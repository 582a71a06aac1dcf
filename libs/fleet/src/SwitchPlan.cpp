#include "SwitchPlan.h"

#include <algorithm>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

constexpr std::size_t kWaves = 3;
// Of the limit: the first wave's earliest and the last wave's latest order.
// Work that runs is let to end, which takes a while after the order.
constexpr double kFirstWave = 0.3;
constexpr double kLastWave = 0.68;

} // namespace

Millis
PlanSwitch(const SwitchTerms& aTerms)
{
  if (aTerms.idle) {
    return Millis(0);
  }
  auto wave = aTerms.rank * kWaves / std::max<std::size_t>(aTerms.sides, 1);
  double step = (kLastWave - kFirstWave) / (kWaves - 1);
  double share = kFirstWave + step * static_cast<double>(wave);
  auto due = Millis(
    static_cast<std::int64_t>(static_cast<double>(aTerms.limit.value) * share));
  return std::max(due - aTerms.age, Millis(0));
}

} // namespace waxwingyoke::fleet
