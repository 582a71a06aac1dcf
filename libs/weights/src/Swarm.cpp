#include "Swarm.h"

#include <algorithm>

namespace waxwingyoke::weights {

namespace {

bool
IsSide(const membership::Member& aMember)
{
  return aMember.vm.role() == "side";
}

bool
HoldsCompleteVersion(const membership::Member& aMember,
                     const std::string& aVersion)
{
  return aMember.status && aMember.status->ready_version() == aVersion;
}

} // namespace

utils::Millis
Swarm::GetExpectedChunkTime() const
{
  if (!content || content->chunks.empty()) {
    return rate.GetExpectedTime(0);
  }
  return rate.GetExpectedTime(content->bytes / content->chunks.size());
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
UpdatePeersFromView(const ReplicatorContext& aContext, Swarm& aSwarm)
{
  auto now = utils::Clock().Now();
  const auto& own = aContext.settings.node();
  auto view = aContext.node.GetView();
  const auto* profile = [&]() -> const schema::Profile* {
    const auto* member = view->FindMember(own.vm());
    return member ? view->config->FindProfileOf(member->vm) : nullptr;
  }();
  std::vector<std::string> listed;
  aSwarm.regionVms = { own.vm() };
  auto version = aSwarm.version.ToHex();
  for (const auto& [vm, member] : view->members) {
    bool complete = HoldsCompleteVersion(member, version);
    bool selected =
      profile != nullptr && profiles::Selects(*profile, member.vm);
    if (vm == own.vm() || !IsSide(member) || !(complete || selected)) {
      continue;
    }
    listed.push_back(vm);
    aSwarm.peers.AddOrUpdate(
      vm, member.vm.region(), member.GetControlEndpoint(), now);
    if (complete && aSwarm.content) {
      aSwarm.peers.MarkComplete(vm, now);
    }
    if (member.vm.region() == own.region() && !member.IsLeaving()) {
      aSwarm.regionVms.push_back(vm);
    }
  }
  aSwarm.peers.KeepOnly(listed);
  std::ranges::sort(aSwarm.regionVms);
}

} // namespace waxwingyoke::weights
