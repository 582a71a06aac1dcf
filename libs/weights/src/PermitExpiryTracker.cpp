#include "PermitExpiryTracker.h"

#include <algorithm>
#include <iterator>

namespace waxwingyoke::weights {

namespace {

/** Updates since when a condition has held without interruption. */
void
Track(bool aHolds, utils::Millis aNow, bool& aHeld, utils::Millis& aSince)
{
  if (aHolds && !aHeld) {
    aSince = aNow;
  }
  aHeld = aHolds;
}

} // namespace

std::vector<Permit>
PermitExpiryTracker::ListExpired(const std::vector<Permit>& aPermits,
                                 const IsOrphaned& aIsOrphaned,
                                 utils::Millis aNow)
{
  std::erase_if(seen_, [&](const auto& aEntry) {
    return std::ranges::find(aPermits, aEntry.first, &Permit::offset) ==
           aPermits.end();
  });
  std::vector<Permit> expired;
  std::ranges::copy_if(
    aPermits, std::back_inserter(expired), [&](const Permit& aPermit) {
      return IsExpired(aPermit, aIsOrphaned(aPermit), aNow);
    });
  return expired;
}

bool
PermitExpiryTracker::IsExpired(const Permit& aPermit,
                               bool aOrphaned,
                               utils::Millis aNow)
{
  auto& seen = seen_[aPermit.offset];
  Track(aPermit.granted, aNow, seen.granted, seen.grantedSince);
  Track(aOrphaned, aNow, seen.orphaned, seen.orphanedSince);
  bool lifetimeExceeded =
    seen.granted && aNow - seen.grantedSince >= kPermitLifetime;
  bool orphanExpired =
    seen.orphaned && aNow - seen.orphanedSince >= kOrphanedPermitLifetime;
  return lifetimeExceeded || orphanExpired;
}

} // namespace waxwingyoke::weights
