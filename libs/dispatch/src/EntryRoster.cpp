#include <dispatch/EntryRoster.h>

#include <algorithm>
#include <utility>

#include <utils/Hash.h>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

// Entries send complete notices twice a second, so one that runs is not missed
// for this long even if most notices are lost.
constexpr Millis kPresenceTime(2000);
// An entry that receives no notice at all is more likely to be cut off itself
// than to be the only one left, so the others still count.
constexpr Millis kIsolationTime(30000);

} // namespace

EntryRoster::EntryRoster(CompetingEntry aOwn,
                         std::map<std::string, std::string> aRegions)
  : own_(std::move(aOwn))
  , regions_(std::move(aRegions))
{
}

void
EntryRoster::RecordNotice(const std::string& aVm,
                          const std::string& aRegion,
                          bool aIsLeaving,
                          Millis aNow)
{
  auto [row, isNew] = others_.try_emplace(aVm);
  if (isNew) {
    row->second.entry.hash = utils::StableHash(aVm);
    std::erase_if(others_, [&](const auto& aRow) {
      return aRow.first != aVm &&
             aNow - aRow.second.receivedAt >= kIsolationTime;
    });
  }
  row->second.entry.region = aRegion;
  row->second.isLeaving = aIsLeaving;
  row->second.receivedAt = aNow;
}

bool
EntryRoster::Leave(Millis aNow)
{
  VisitOthers(aNow, [this](const auto&, const auto&) { hasLeft_ = true; });
  return hasLeft_;
}

void
EntryRoster::VisitOthers(Millis aNow, const Visitor& aVisitor) const
{
  auto isPresent = [aNow](const auto& aRow) {
    return aNow - aRow.second.receivedAt < kPresenceTime;
  };
  bool isIsolated = std::ranges::none_of(others_, isPresent);
  for (const auto& row : others_) {
    bool isRecent = aNow - row.second.receivedAt < kIsolationTime;
    bool counts = isPresent(row) || (isIsolated && isRecent);
    if (counts && !row.second.isLeaving) {
      aVisitor(row.first, row.second.entry);
    }
  }
}

EntryRank
EntryRoster::GetRank(const CompetingEntry& aEntry,
                     std::uint64_t aUpstream,
                     const std::string& aDataCentre) const
{
  auto region = regions_.find(aDataCentre);
  bool isLocal = region != regions_.end() && region->second == aEntry.region;
  return { !isLocal, utils::MixBits(aEntry.hash ^ aUpstream) };
}

} // namespace waxwingyoke::dispatch
