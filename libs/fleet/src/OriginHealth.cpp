#include "OriginHealth.h"

#include <utility>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Each side tries an origin that does not answer this often, and as many try
// less often with each failure.
constexpr Millis kPause(250);
constexpr Millis kLongestPause(1000);

} // namespace

OriginHealth::OriginHealth(utils::Clock aClock)
  : clock_(std::move(aClock))
  , backoff_(kPause, kLongestPause)
{
}

// Told once when it stops and once when it answers again.
void
OriginHealth::Note(bool aAnswers, const utils::Error& aReason)
{
  if (aAnswers) {
    backoff_.Reset();
  } else {
    failedAt_ = clock_.Now();
    usableFrom_ = failedAt_ + backoff_.Take();
  }
  if (std::exchange(answers_, aAnswers) == aAnswers) {
    return;
  }
  if (aAnswers) {
    logger_.Info("the origin answers again");
  } else {
    logger_.Warn("the origin does not answer",
                 { { "reason", aReason.detail } });
  }
}

void
OriginHealth::NoteReturn()
{
  usableFrom_ = clock_.Now();
  backoff_.Reset();
}

} // namespace waxwingyoke::fleet
