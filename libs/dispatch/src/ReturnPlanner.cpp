#include <dispatch/ReturnPlanner.h>

#include <algorithm>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

constexpr double kGapWeight = 0.05;
// Of the room that frees up, for callers who return: the rest serves those
// who come first, in time.
constexpr double kReturnShare = 0.25;
// A caller's way back takes a new connection.
constexpr Millis kSoonest(150);
constexpr Millis kLatest(10000);
// Without any release yet, as after a start.
constexpr double kUnknownGapMs = 100;

} // namespace

void
ReturnPlanner::NoteRelease(Millis aNow)
{
  auto gap = static_cast<double>((aNow - lastRelease_).value);
  if (lastRelease_ != Millis(0)) {
    meanGapMs_ += kGapWeight * (gap - meanGapMs_);
  }
  lastRelease_ = aNow;
}

double
ReturnPlanner::GetReleaseRate(Millis aNow) const
{
  auto silent = static_cast<double>((aNow - lastRelease_).value);
  double gap = meanGapMs_ > 0 ? meanGapMs_ : kUnknownGapMs;
  return 1 / std::max(gap, lastRelease_ == Millis(0) ? gap : silent);
}

Millis
ReturnPlanner::PlanReturn(Millis aNow)
{
  double gap = 1 / (GetReleaseRate(aNow) * kReturnShare);
  auto earliest = aNow + kSoonest;
  nextReturn_ =
    std::max(nextReturn_ + Millis(static_cast<std::int64_t>(gap)), earliest);
  nextReturn_ = std::min(nextReturn_, aNow + kLatest);
  return nextReturn_ - aNow;
}

} // namespace waxwingyoke::dispatch
