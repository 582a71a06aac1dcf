#include <dispatch/Freshness.h>

namespace waxwingyoke::dispatch {

namespace {

// Between this check and the upstream's start: a connection and a queue.
constexpr utils::Millis kSendMargin(600);

} // namespace

Trust
JudgeAge(utils::Millis aAge, const FreshnessBounds& aBounds)
{
  if (aAge > aBounds.revoke - kSendMargin) {
    return Trust::KeylessOnly;
  }
  return aAge > aBounds.configApply ? Trust::Allowed : Trust::Full;
}

} // namespace waxwingyoke::dispatch
