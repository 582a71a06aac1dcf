#include <dispatch/PredictionBias.h>

#include <algorithm>
#include <cmath>

namespace waxwingyoke::dispatch {

namespace {

// The mean spans about the last 50 requests of an entry: 2 s of its load.
constexpr double kSampleWeight = 0.02;
// Limits the effect of a single stalled request, and keeps the bias from
// growing so large that all requests are refused.
constexpr double kMaxMissMs = 250;
// The bias decays while no samples arrive. Otherwise a bias that causes all
// requests to be refused would never be corrected.
constexpr double kHalfLifeMs = 1000;

} // namespace

void
PredictionBias::RecordSample(double aPredictedMs,
                             double aActualMs,
                             utils::Millis aNow)
{
  double miss = std::clamp(aActualMs - aPredictedMs, -kMaxMissMs, kMaxMissMs);
  meanMs_ += kSampleWeight * (miss - meanMs_);
  recordedAt_ = aNow;
}

double
PredictionBias::GetMs(utils::Millis aNow) const
{
  auto sinceLastMs = static_cast<double>((aNow - recordedAt_).value);
  return std::max(meanMs_, 0.0) * std::exp2(-sinceLastMs / kHalfLifeMs);
}

} // namespace waxwingyoke::dispatch
