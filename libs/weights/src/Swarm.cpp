#include "Swarm.h"

#include <algorithm>

namespace waxwingyoke::weights {

namespace {

bool
IsUsableSide(const membership::Member& aMember)
{
  return aMember.vm.role() == "side";
}

bool
HoldsWhole(const membership::Member& aMember, const std::string& aVersion)
{
  return aMember.status && aMember.status->ready_version() == aVersion;
}

} // namespace

utils::Millis
Swarm::GetChunkTime() const
{
  if (!content || content->chunks.empty()) {
    return rate.GetUsualTime(0);
  }
  return rate.GetUsualTime(content->bytes / content->chunks.size());
}

std::size_t
CountFetchers(const Swarm& aSwarm)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aSwarm.regionVms, [&](const std::string& aVm) {
      const auto* peer = aSwarm.peers.Find(aVm);
      return peer == nullptr || !peer->held.IsFull();
    }));
}

void
SeeMembers(const Services& aServices, Swarm& aSwarm)
{
  auto now = utils::Clock().Now();
  const auto& own = aServices.settings.node();
  auto view = aServices.node.GetView();
  const auto* profile = [&]() -> const schema::Profile* {
    const auto* member = view->FindMember(own.vm());
    return member ? view->config->FindProfileOf(member->vm) : nullptr;
  }();
  std::vector<std::string> listed;
  aSwarm.regionVms = { own.vm() };
  auto version = aSwarm.version.ToHex();
  for (const auto& [vm, member] : view->members) {
    bool whole = HoldsWhole(member, version);
    bool selected =
      profile != nullptr && profiles::Selects(*profile, member.vm);
    if (vm == own.vm() || !IsUsableSide(member) || !(whole || selected)) {
      continue;
    }
    listed.push_back(vm);
    aSwarm.peers.See(vm, member.vm.region(), member.GetControlEndpoint(), now);
    if (whole && aSwarm.content) {
      aSwarm.peers.MarkWhole(vm, now);
    }
    if (member.vm.region() == own.region() && !member.IsLeaving()) {
      aSwarm.regionVms.push_back(vm);
    }
  }
  aSwarm.peers.KeepOnly(listed);
  std::ranges::sort(aSwarm.regionVms);
}

} // namespace waxwingyoke::weights
