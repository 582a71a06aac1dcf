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

/** The ranked VMs that may be asked, and the node itself in its rank. */
Names
KeepAnswering(const Names& aRanked,
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

/** The relays of all data centres, in one ranking for all of them. */
Names
RankRelays(const Members& aMembers,
           const std::string& aVm,
           std::size_t aRelays,
           const SuspectTest& aIsSuspect)
{
  std::set<std::string> places;
  for (const auto& [id, member] : aMembers) {
    places.insert(member.vm.data_centre());
  }
  Names relays;
  std::ranges::for_each(places, [&](const std::string& aPlace) {
    auto ranked =
      KeepAnswering(RankDataCentre(aMembers, aPlace), aVm, aIsSuspect);
    ranked.resize(std::min(ranked.size(), aRelays));
    std::ranges::move(ranked, std::back_inserter(relays));
  });
  return utils::RankMembers("relay", std::move(relays));
}

} // namespace

Place
FindPlace(const Members& aMembers,
          const std::string& aVm,
          std::size_t aRelays,
          const SuspectTest& aIsSuspect)
{
  Place place;
  auto self = aMembers.find(aVm);
  if (self == aMembers.end()) {
    place.relay = true;
    return place;
  }
  const auto& dataCentre = self->second.vm.data_centre();
  auto ranked =
    KeepAnswering(RankDataCentre(aMembers, dataCentre), aVm, aIsSuspect);
  auto position = static_cast<std::size_t>(
    std::distance(ranked.begin(), std::ranges::find(ranked, aVm)));
  if (position >= aRelays && !ranked.empty()) {
    place.parent = ranked[(position - aRelays) / kTreeFanOut];
    return place;
  }
  place.relay = true;
  auto relays = RankRelays(aMembers, aVm, aRelays, aIsSuspect);
  place.relayRank = static_cast<std::size_t>(
    std::distance(relays.begin(), std::ranges::find(relays, aVm)));
  if (place.relayRank > 0 && !relays.empty()) {
    place.parent = relays[(place.relayRank - 1) / kTreeFanOut];
  }
  return place;
}

} // namespace waxwingyoke::membership
