#include "OriginHealth.h"

#include <utility>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Pause of the side that probes for its region. It delays the fleet's recovery
// by its whole length.
constexpr Millis kProbePause(150);
// The other sides retry too, in case the prober can't reach the origin. Their
// pause grows with each failure to limit the total number of requests.
constexpr Millis kPause(250);
constexpr Millis kLongestPause(1000);

} // namespace

OriginHealth::OriginHealth(utils::Clock aClock)
  : clock_(std::move(aClock))
  , backoff_(kPause, kLongestPause)
{
}

// Logs only transitions between answering and not answering.
void
OriginHealth::RecordResult(bool aSucceeded, const utils::Error& aReason)
{
  if (aSucceeded) {
    backoff_.Reset();
  } else {
    ranksSince_ = clock_.Now();
    auto pause = backoff_.NextDelay();
    usableFrom_ = ranksSince_ + (isProber_ ? kProbePause : pause);
  }
  if (std::exchange(isAnswering_, aSucceeded) == aSucceeded) {
    return;
  }
  if (aSucceeded) {
    logger_.Info("the origin answers again");
  } else {
    logger_.Warn("the origin does not answer",
                 { { "reason", aReason.detail } });
  }
}

void
OriginHealth::MarkUsable()
{
  usableFrom_ = clock_.Now();
  ranksSince_ = usableFrom_;
  backoff_.Reset();
}

} // namespace waxwingyoke::fleet
