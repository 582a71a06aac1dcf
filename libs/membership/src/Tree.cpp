#include "Tree.h"

#include <algorithm>
#include <iterator>
#include <set>

#include <utils/Hash.h>

namespace waxwingyoke::membership {

namespace {

using Members = std::map<std::string, Member>;
using Names = std::vector<std::string>;

Names
RankDataCentre(const Members& aMembers, const std::string& aDataCentre)
{
  Names names;
  for (const auto& [id, member] : aMembers) {
    if (member.vm.data_centre() == aDataCentre && !member.IsLeaving()) {
      names.push_back(id);
    }
  }
  return utils::RankMembers("relay", std::move(names));
}

/** The ranking without suspects; aVm itself always keeps its rank. */
Names
RemoveSuspects(const Names& aRanked,
               const std::string& aVm,
               const SuspectTest& aIsSuspect)
{
  Names kept;
  std::ranges::copy_if(
    aRanked, std::back_inserter(kept), [&](const std::string& aName) {
      return aName == aVm || !aIsSuspect(aName);
    });
  return kept;
}

/** One ranking of the relays of all data centres. */
Names
RankRelays(const Members& aMembers,
           const std::string& aVm,
           std::size_t aRelays,
           const SuspectTest& aIsSuspect)
{
  std::set<std::string> dataCentres;
  for (const auto& [id, member] : aMembers) {
    dataCentres.insert(member.vm.data_centre());
  }
  Names relays;
  std::ranges::for_each(dataCentres, [&](const std::string& aId) {
    auto ranked =
      RemoveSuspects(RankDataCentre(aMembers, aId), aVm, aIsSuspect);
    ranked.resize(std::min(ranked.size(), aRelays));
    std::ranges::move(ranked, std::back_inserter(relays));
  });
  return utils::RankMembers("relay", std::move(relays));
}

} // namespace

TreePosition
FindTreePosition(const Members& aMembers,
                 const std::string& aVm,
                 std::size_t aRelays,
                 const SuspectTest& aIsSuspect)
{
  TreePosition position;
  auto self = aMembers.find(aVm);
  if (self == aMembers.end()) {
    position.relay = true;
    return position;
  }
  const auto& dataCentre = self->second.vm.data_centre();
  auto ranked =
    RemoveSuspects(RankDataCentre(aMembers, dataCentre), aVm, aIsSuspect);
  auto rank = static_cast<std::size_t>(
    std::distance(ranked.begin(), std::ranges::find(ranked, aVm)));
  if (rank >= aRelays && !ranked.empty()) {
    position.parent = ranked[(rank - aRelays) / kTreeFanOut];
    return position;
  }
  position.relay = true;
  auto relays = RankRelays(aMembers, aVm, aRelays, aIsSuspect);
  position.relayRank = static_cast<std::size_t>(
    std::distance(relays.begin(), std::ranges::find(relays, aVm)));
  if (position.relayRank > 0 && !relays.empty()) {
    position.parent = relays[(position.relayRank - 1) / kTreeFanOut];
  }
  return position;
}

} // namespace waxwingyoke::membership
