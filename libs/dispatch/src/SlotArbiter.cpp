#include <dispatch/SlotArbiter.h>

#include <algorithm>
#include <utility>

#include <utils/Hash.h>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

// With this many free slots or fewer, two entries that have not yet received
// each other's last request can overfill the upstream.
constexpr std::uint32_t kContestedSlots = 2;
// Entries of other regions receive notices less often, so several requests may
// be in flight without being reported.
constexpr std::uint32_t kRemoteContestedSlots = 5;
// An entry's request is reported in its region within one notice interval plus
// the network latency.
constexpr Millis kRankDelay(30);

} // namespace

SlotArbiter::SlotArbiter(CompetingEntry aOwn,
                         std::map<std::string, std::string> aRegions)
  : own_(std::move(aOwn))
  , regions_(std::move(aRegions))
{
}

void
SlotArbiter::SetCompetitors(std::vector<CompetingEntry> aOthers)
{
  others_ = std::move(aOthers);
}

bool
SlotArbiter::IsLocal(const CompetingEntry& aEntry, const SlotView& aView) const
{
  auto region = regions_.find(aView.dataCentre);
  return region != regions_.end() && region->second == aEntry.region;
}

// Entries of other regions leave the last slots to the entries of the
// upstream's region. Where that region has no entry, they are ranked in the
// same way.
bool
SlotArbiter::MayTakeSlot(const SlotView& aView, Millis aNow) const
{
  bool isLocal = IsLocal(own_, aView);
  bool hasLocal =
    isLocal || std::ranges::any_of(others_, [&](const CompetingEntry& aOther) {
      return IsLocal(aOther, aView);
    });
  if (!isLocal && hasLocal) {
    return aView.freeSlots > kRemoteContestedSlots;
  }
  if (aView.freeSlots > (isLocal ? kContestedSlots : kRemoteContestedSlots)) {
    return true;
  }
  auto ownOrder = utils::MixBits(own_.hash ^ aView.upstream);
  auto rank = std::ranges::count_if(others_, [&](const CompetingEntry& aOther) {
    return IsLocal(aOther, aView) == isLocal &&
           utils::MixBits(aOther.hash ^ aView.upstream) < ownOrder;
  });
  return aNow - aView.changedAt >= kRankDelay * rank;
}

} // namespace waxwingyoke::dispatch
