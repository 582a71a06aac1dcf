#include <routing/Candidate.h>

#include <algorithm>
#include <utility>

#include <utils/Hash.h>

namespace waxwingyoke::routing {

namespace {

bool
IsServing(const membership::Member& aMember)
{
  return aMember.vm.role() == "side" && aMember.status &&
         !aMember.status->ready_profile().empty() && !aMember.IsLeaving();
}

Candidate
MakeCandidate(const membership::Member& aMember)
{
  Candidate candidate;
  candidate.vm = aMember.vm.id();
  candidate.endpoint = aMember.GetControlEndpoint();
  candidate.incarnation = aMember.status->incarnation();
  candidate.dataCentre = aMember.vm.data_centre();
  candidate.region = aMember.vm.region();
  candidate.version = aMember.status->ready_version();
  candidate.slots = std::max(aMember.status->slots(), 1U);
  candidate.hash = utils::StableHash(candidate.vm);
  return candidate;
}

} // namespace

const Candidates&
RouteTable::Find(const std::string& aProfile) const
{
  static const Candidates kNoCandidates;
  auto row = byProfile.find(aProfile);
  return row == byProfile.end() ? kNoCandidates : row->second;
}

std::shared_ptr<const RouteTable>
RouteTableBuilder::Build(const membership::View& aView)
{
  auto table = std::make_shared<RouteTable>();
  std::map<std::string, std::shared_ptr<SideState>> states;
  for (const auto& [vm, member] : aView.members) {
    if (!IsServing(member)) {
      continue;
    }
    auto candidate = MakeCandidate(member);
    auto& state = states[candidate.incarnation];
    auto previous = states_.find(candidate.incarnation);
    state = previous == states_.end() ? std::make_shared<SideState>()
                                      : previous->second;
    candidate.state = state;
    table->byProfile[member.status->ready_profile()].push_back(
      std::move(candidate));
  }
  states_ = std::move(states);
  return table;
}

} // namespace waxwingyoke::routing
