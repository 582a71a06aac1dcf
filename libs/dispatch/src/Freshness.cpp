#include <dispatch/Freshness.h>

namespace waxwingyoke::dispatch {

namespace {

// Allows for the time between this check and the start at the upstream: opening
// a connection and waiting in the upstream's queue.
constexpr utils::Millis kSendMargin(600);

} // namespace

Trust
ClassifyAge(utils::Millis aAge, const FreshnessBounds& aBounds)
{
  if (aAge > aBounds.revoke - kSendMargin) {
    return Trust::KeylessOnly;
  }
  return aAge > aBounds.configApply ? Trust::AcceptOnly : Trust::Full;
}

} // namespace waxwingyoke::dispatch
