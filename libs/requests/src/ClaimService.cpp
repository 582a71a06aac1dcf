#include "ClaimService.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <utils/Hash.h>

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr Millis kConnectTimeout(300);
constexpr Millis kOwnerTimeout(4000);

std::string
GetStreamName(const schema::Claim& aClaim)
{
  return GetClaimStream(aClaim.organisation(), aClaim.key());
}

// Whether the owner decided the claim; after any other error this entry appends
// it itself.
bool
IsFinalError(ErrorKind aKind)
{
  return aKind == ErrorKind::KeyExpired || aKind == ErrorKind::LogUnavailable;
}

} // namespace

ClaimService::ClaimService(membership::Node& aNode,
                           rpc::RpcClient& aRpc,
                           platform::LogClient& aLog)
  : node_(aNode)
  , rpc_(aRpc)
{
  for (std::uint32_t i = 0; i < kClaimStreamCount; ++i) {
    auto name = GetClaimStreamName(i);
    streams_[name] = std::make_unique<ClaimStream>(aLog, name);
  }
}

ClaimStream&
ClaimService::GetStream(const schema::Claim& aClaim)
{
  return *streams_.at(GetStreamName(aClaim));
}

const membership::Member*
ClaimService::FindStreamOwner(const membership::View& aView,
                              const std::string& aStream) const
{
  std::vector<std::string> entries;
  for (const auto& [vm, member] : aView.members) {
    if (member.vm.role() == "entry" && !member.IsLeaving()) {
      entries.push_back(vm);
    }
  }
  auto ranked = utils::RankMembers(aStream, std::move(entries));
  if (ranked.empty() || ranked.front() == node_.GetSettings().vm()) {
    return nullptr;
  }
  return aView.FindMember(ranked.front());
}

std::optional<schema::ClaimReply>
ClaimService::Claim(const schema::Claim& aClaim,
                    Millis aDeadline,
                    utils::Error& aReason)
{
  auto view = node_.GetView();
  const auto* owner = FindStreamOwner(*view, GetStreamName(aClaim));
  if (owner) {
    auto remaining = std::max(aDeadline - clock_.Now(), Millis(1));
    schema::ClaimRequest request;
    *request.mutable_claim() = aClaim;
    request.set_timeout_ms(remaining.value);
    schema::ClaimReply reply;
    auto wait = std::min(remaining, kOwnerTimeout);
    net::CallTimeouts timeouts{ kConnectTimeout, wait, wait };
    utils::Error reason;
    if (rpc_.Call(owner->GetControlEndpoint(),
                  "entry.claim",
                  request,
                  reply,
                  timeouts,
                  reason)) {
      return reply;
    }
    if (IsFinalError(reason.kind)) {
      aReason = reason;
      return std::nullopt;
    }
  }
  // The owner may have appended the same claim before its answer was lost. A
  // second record of the same attempt changes nothing.
  return GetStream(aClaim).Claim(aClaim, aDeadline, aReason);
}

bool
ClaimService::HandleClaim(const schema::ClaimRequest& aRequest,
                          schema::ClaimReply& aReply,
                          utils::Error& aReason)
{
  auto deadline = clock_.Now() + Millis(aRequest.timeout_ms());
  auto reply =
    GetStream(aRequest.claim()).Claim(aRequest.claim(), deadline, aReason);
  if (reply) {
    aReply = std::move(*reply);
  }
  return reply.has_value();
}

} // namespace waxwingyoke::requests
