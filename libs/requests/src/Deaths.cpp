#include "Deaths.h"

namespace waxwingyoke::requests {

void
Deaths::EnterSuspect()
{
  std::scoped_lock lock(mutex_);
  ++suspects_;
}

void
Deaths::LeaveSuspect(bool aCrashed, utils::Millis aNow)
{
  std::scoped_lock lock(mutex_);
  --suspects_;
  if (aCrashed) {
    convictedAt_ = aNow;
  }
}

schema::Strike
Deaths::Judge(bool aSuspect, utils::Millis aNow)
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
