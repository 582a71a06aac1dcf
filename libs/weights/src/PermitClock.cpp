#include "PermitClock.h"

#include <algorithm>
#include <iterator>

namespace waxwingyoke::weights {

namespace {

/** Notes since when a condition holds without a break. */
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
PermitClock::ListExpired(const std::vector<Permit>& aPermits,
                         const IsGone& aIsGone,
                         utils::Millis aNow)
{
  std::erase_if(seen_, [&](const auto& aEntry) {
    return std::ranges::find(aPermits, aEntry.first, &Permit::offset) ==
           aPermits.end();
  });
  std::vector<Permit> expired;
  std::ranges::copy_if(
    aPermits, std::back_inserter(expired), [&](const Permit& aPermit) {
      return IsExpired(aPermit, aIsGone(aPermit), aNow);
    });
  return expired;
}

bool
PermitClock::IsExpired(const Permit& aPermit, bool aGone, utils::Millis aNow)
{
  auto& seen = seen_[aPermit.offset];
  Track(aPermit.granted, aNow, seen.granted, seen.grantedSince);
  Track(aGone, aNow, seen.gone, seen.goneSince);
  bool outlived = seen.granted && aNow - seen.grantedSince >= kPermitLife;
  bool left = seen.gone && aNow - seen.goneSince >= kGonePermitLife;
  return outlived || left;
}

} // namespace waxwingyoke::weights
