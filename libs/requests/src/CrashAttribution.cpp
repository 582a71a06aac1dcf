#include "CrashAttribution.h"

namespace waxwingyoke::requests {

void
CrashAttribution::EnterSuspect()
{
  std::scoped_lock lock(mutex_);
  ++suspects_;
}

void
CrashAttribution::LeaveSuspect(bool aCrashed, utils::Millis aNow)
{
  std::scoped_lock lock(mutex_);
  --suspects_;
  if (aCrashed) {
    convictedAt_ = aNow;
  }
}

schema::Strike
CrashAttribution::Classify(bool aSuspect, utils::Millis aNow)
{
  std::scoped_lock lock(mutex_);
  if (aSuspect) {
    return schema::CONVICTED;
  }
  bool isCleared = suspects_ > 0 ||
                   (convictedAt_ && aNow - *convictedAt_ < kCrashReportWindow);
  return isCleared ? schema::NO_STRIKE : schema::STRUCK;
}

} // namespace waxwingyoke::requests
