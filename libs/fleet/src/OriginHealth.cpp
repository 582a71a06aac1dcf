#include "OriginHealth.h"

#include <utility>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Every side retries an origin that does not answer. The pause grows with each
// failure to limit the total number of requests.
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
    failedAt_ = clock_.Now();
    usableFrom_ = failedAt_ + backoff_.NextDelay();
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
  backoff_.Reset();
}

} // namespace waxwingyoke::fleet
