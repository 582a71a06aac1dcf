#include "EntryRotation.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::fleet {

namespace {

// One request in so many goes to any entry, as the preferred ones may all fail.
constexpr std::size_t kAnyEntryPeriod = 4;

// Keeps the entries that match, or all if none does.
void
KeepMatching(std::vector<Peer>& aEntries,
             const EntryRotation::Predicate& aMatches)
{
  auto firstOther =
    std::stable_partition(aEntries.begin(), aEntries.end(), aMatches);
  if (firstOther != aEntries.begin()) {
    aEntries.erase(firstOther, aEntries.end());
  }
}

} // namespace

// If all entries of the region are suspended or cut off, only those of other
// regions can report a new version in time.
std::optional<Peer>
EntryRotation::PickLocal(std::vector<Peer> aEntries)
{
  if (!lastAnswered_) {
    return PickAny(std::move(aEntries));
  }
  KeepMatching(aEntries, isAlive_);
  KeepMatching(aEntries, isLocal_);
  bool isAnyDue = next_ % kAnyEntryPeriod == kAnyEntryPeriod - 1;
  if (!isAnyDue) {
    KeepMatching(aEntries, [this](const Peer& aPeer) {
      return std::ranges::find(preferredVms_, aPeer.vm) != preferredVms_.end();
    });
  }
  return PickNext(aEntries);
}

std::optional<Peer>
EntryRotation::PickAny(std::vector<Peer> aEntries)
{
  KeepMatching(aEntries, isAlive_);
  return PickNext(aEntries);
}

// Skips one in each period: otherwise the request to any entry would go to the
// same one each time if the period is a multiple of their number.
std::optional<Peer>
EntryRotation::PickNext(const std::vector<Peer>& aEntries)
{
  auto turn = next_ + next_ / kAnyEntryPeriod;
  ++next_;
  return aEntries.empty() ? std::nullopt
                          : std::optional(aEntries[turn % aEntries.size()]);
}

} // namespace waxwingyoke::fleet
