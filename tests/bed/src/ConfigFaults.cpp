#include <bed/Bed.h>

#include <algorithm>
#include <set>

#include <rpc/RpcClient.h>

namespace waxwingyoke::bed {

namespace {

/** The first three octets that all addresses of the node's site share. */
std::string
GetSitePrefix(const BedNode& aNode)
{
  const auto& address = aNode.vm.address();
  return address.substr(0, address.rfind('.') + 1);
}

fakes::LinkFaults
MakeHoldFaults(bool aHold, const std::string& aFrom)
{
  fakes::LinkFaults faults;
  faults.set_hold_to_target(aHold);
  faults.set_hold_to_client(aHold);
  faults.set_from(aFrom);
  return faults;
}

constexpr net::CallTimeouts kProbeTimeouts{ utils::Millis(1000),
                                            utils::Millis(2000),
                                            utils::Millis(2000) };

} // namespace

bool
Bed::SetRegionCut(const std::string& aRegion, bool aCut)
{
  auto isInside = [&aRegion](const BedNode& aNode) {
    return aNode.vm.region() == aRegion;
  };
  std::set<std::string> inside;
  std::set<std::string> outside;
  for (const auto& node : nodes_) {
    (isInside(*node) ? inside : outside).insert(GetSitePrefix(*node));
  }
  return std::ranges::all_of(nodes_, [&](const auto& aNode) {
    const auto& others = isInside(*aNode) ? outside : inside;
    bool done = std::ranges::all_of(others, [&](const std::string& aPrefix) {
      return SetLink(*aNode, Link::Control, MakeHoldFaults(aCut, aPrefix));
    });
    return done && (!isInside(*aNode) ||
                    SetLink(*aNode, Link::Log, MakeHoldFaults(aCut, "")));
  });
}

bool
Bed::IsInForce(std::uint64_t aNextOffset)
{
  rpc::RpcClient client(client_, kSecret);
  std::set<std::string> digests;
  return std::ranges::all_of(nodes_, [&](const auto& aNode) {
    if (!aNode->process) {
      return true;
    }
    schema::StatusReply reply;
    utils::Error reason;
    bool answered = client.Call(aNode->control,
                                "status.get",
                                schema::StatusRequest(),
                                reply,
                                kProbeTimeouts,
                                reason);
    digests.insert(reply.state_digest());
    return answered && reply.config_offset() >= aNextOffset &&
           digests.size() == 1;
  });
}

} // namespace waxwingyoke::bed
