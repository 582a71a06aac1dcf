#include <dispatch/RetryAfterPlanner.h>

#include <algorithm>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

constexpr double kGapWeight = 0.05;
// Share of the released slots that is reserved for retried requests. The rest
// serves first attempts, which can still meet their objective.
constexpr double kRetryShare = 0.25;
// Allows for the new connection that a retry takes.
constexpr Millis kMinRetryAfter(150);
constexpr Millis kMaxRetryAfter(10000);
// Assumed interval until releases are measured, as after a start.
constexpr double kInitialGapMs = 100;

} // namespace

void
RetryAfterPlanner::RecordRelease(Millis aNow)
{
  auto gap = static_cast<double>((aNow - lastRelease_).value);
  if (lastRelease_ != Millis(0)) {
    meanGapMs_ += kGapWeight * (gap - meanGapMs_);
  }
  lastRelease_ = aNow;
}

double
RetryAfterPlanner::GetReleaseRate(Millis aNow) const
{
  auto sinceLastMs = static_cast<double>((aNow - lastRelease_).value);
  double gap = meanGapMs_ > 0 ? meanGapMs_ : kInitialGapMs;
  return 1 / std::max(gap, lastRelease_ == Millis(0) ? gap : sinceLastMs);
}

Millis
RetryAfterPlanner::PlanRetry(Millis aNow)
{
  double gap = 1 / (GetReleaseRate(aNow) * kRetryShare);
  auto earliest = aNow + kMinRetryAfter;
  nextRetry_ =
    std::max(nextRetry_ + Millis(static_cast<std::int64_t>(gap)), earliest);
  nextRetry_ = std::min(nextRetry_, aNow + kMaxRetryAfter);
  return nextRetry_ - aNow;
}

Millis
RetryAfterPlanner::PlanRetryAt(Millis aEarliest, Millis aInterval, Millis aNow)
{
  if (aInterval == Millis(0)) {
    return aEarliest - aNow;
  }
  nextOpening_ = std::max(nextOpening_ + aInterval, aEarliest);
  // More callers than can be served within the longest delay: they return late,
  // but not all at the end of it.
  if (nextOpening_ > aNow + kMaxRetryAfter) {
    nextOpening_ = aNow + kMaxRetryAfter / 2;
  }
  return nextOpening_ - aNow;
}

} // namespace waxwingyoke::dispatch
