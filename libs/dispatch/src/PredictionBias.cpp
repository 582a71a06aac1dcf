#include <dispatch/PredictionBias.h>

#include <algorithm>
#include <cmath>

namespace waxwingyoke::dispatch {

namespace {

// About the last fifty requests of an entry count: two seconds of its load.
constexpr double kSampleWeight = 0.02;
// One stalled request must not stand for the others, nor may all be refused.
constexpr double kMostMs = 250;
// Without requests there is nothing to learn from: what was learnt fades, or
// none would be sent again.
constexpr double kHalfLifeMs = 1000;

} // namespace

void
PredictionBias::Note(double aPredictedMs, double aActualMs, utils::Millis aNow)
{
  double miss = std::clamp(aActualMs - aPredictedMs, -kMostMs, kMostMs);
  meanMs_ += kSampleWeight * (miss - meanMs_);
  notedAt_ = aNow;
}

double
PredictionBias::GetMs(utils::Millis aNow) const
{
  auto silent = static_cast<double>((aNow - notedAt_).value);
  return std::max(meanMs_, 0.0) * std::exp2(-silent / kHalfLifeMs);
}

} // namespace waxwingyoke::dispatch
