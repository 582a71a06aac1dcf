#include <dispatch/SlotTurns.h>

#include <algorithm>
#include <utility>

#include <utils/Hash.h>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

// With this many places or fewer left, two entries that do not know of each
// other's last request exceed the upstream.
constexpr std::uint32_t kContested = 2;
// Entries of other regions are told less often, so that several requests may
// be on their way unknown.
constexpr std::uint32_t kFarContested = 5;
// An entry's request is known to those of its region after one interval of
// their notices and the way.
constexpr Millis kTurnStep(30);

} // namespace

SlotTurns::SlotTurns(SlotRival aOwn,
                     std::map<std::string, std::string> aRegions)
  : own_(std::move(aOwn))
  , regions_(std::move(aRegions))
{
}

void
SlotTurns::SetOthers(std::vector<SlotRival> aOthers)
{
  others_ = std::move(aOthers);
}

bool
SlotTurns::IsNear(const SlotRival& aEntry, const SlotView& aView) const
{
  auto region = regions_.find(aView.dataCentre);
  return region != regions_.end() && region->second == aEntry.region;
}

// An upstream in whose region there is no entry has only far ones, which take
// turns like near ones.
bool
SlotTurns::MayTake(const SlotView& aView, Millis aNow) const
{
  bool isNear = IsNear(own_, aView);
  bool hasNear =
    isNear || std::ranges::any_of(others_, [&](const SlotRival& aOther) {
      return IsNear(aOther, aView);
    });
  if (!isNear && hasNear) {
    return aView.free > kFarContested;
  }
  if (aView.free > (isNear ? kContested : kFarContested)) {
    return true;
  }
  auto ownOrder = utils::MixBits(own_.hash ^ aView.upstream);
  auto turn = std::ranges::count_if(others_, [&](const SlotRival& aOther) {
    return IsNear(aOther, aView) == isNear &&
           utils::MixBits(aOther.hash ^ aView.upstream) < ownOrder;
  });
  return aNow - aView.changedAt >= kTurnStep * turn;
}

} // namespace waxwingyoke::dispatch
