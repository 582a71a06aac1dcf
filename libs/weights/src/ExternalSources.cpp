#include "ExternalSources.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

// More would share the same link and make each chunk later.
constexpr int kMaxRunning = 1;
constexpr utils::Millis kMinPatience(4000);
constexpr std::int64_t kPatienceChunks = 12;
constexpr utils::Millis kCorruptPause(300);
constexpr utils::Millis kRefusedPause(1000);
// A stalled source costs each try a whole deadline.
constexpr utils::Millis kStalledPause(10000);
constexpr int kMaxDoublings = 3;
constexpr utils::Millis kHeldBackPause(300);

utils::Millis
GetPause(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::DigestMismatch:
      return kCorruptPause;
    case ErrorKind::TimedOut:
    case ErrorKind::DeadlineExceeded:
      return kStalledPause;
    default:
      return kRefusedPause;
  }
}

} // namespace

ExternalSources::ExternalSources(Services aServices,
                                 std::shared_ptr<Swarm> aSwarm,
                                 OriginBudget& aBudget)
  : services_(aServices)
  , swarm_(std::move(aSwarm))
  , budget_(aBudget)
{
  const auto& platform = services_.settings.platform();
  auto add = [&](SourceKind aKind, const std::string& aText) {
    if (auto endpoint = net::Endpoint::Parse(aText)) {
      list_.push_back({ aKind, *endpoint, utils::Millis(0), 0 });
    }
  };
  add(SourceKind::Store, platform.store());
  add(SourceKind::Origin, platform.origin());
}

std::vector<ExternalPick>
ExternalSources::ListServices() const
{
  std::vector<ExternalPick> picks;
  for (const auto& service : list_) {
    if (service.avoidUntil <= clock_.Now()) {
      picks.push_back({ 0, service.kind, service.endpoint, {} });
    }
  }
  return picks;
}

bool
ExternalSources::IsDue(std::size_t aExtent)
{
  if (rankedVms_ != swarm_->regionVms) {
    rankedVms_ = swarm_->regionVms;
    ranks_.clear();
  }
  auto& ranks = ranks_[aExtent];
  if (ranks.empty()) {
    ranks = RankFetchers(swarm_->version.ToHex(), aExtent, rankedVms_);
  }
  auto patience =
    std::max(kMinPatience, swarm_->GetChunkTime() * kPatienceChunks);
  return IsStepInDue(ranks,
                     services_.settings.node().vm(),
                     swarm_->peers,
                     patience,
                     clock_.Now());
}

std::size_t
ExternalSources::GetExtentOf(std::size_t aChunk) const
{
  return GetExtent(aChunk, swarm_->content->chunks.size());
}

bool
ExternalSources::Admit(const ExternalPick& aPick)
{
  if (aPick.kind == SourceKind::RemotePeer) {
    return true;
  }
  auto extents = CountExtents(swarm_->content->chunks.size());
  if (budget_.Admit({ aPick.chunk, GetExtentOf(aPick.chunk), extents })) {
    return true;
  }
  heldBack_[aPick.chunk] = clock_.Now() + kHeldBackPause;
  return false;
}

bool
ExternalSources::IsHeldBack(std::size_t aChunk) const
{
  auto found = heldBack_.find(aChunk);
  return found != heldBack_.end() && clock_.Now() < found->second;
}

std::optional<ExternalPick>
ExternalSources::PickSource(const PickInput& aInput, std::size_t aChunk) const
{
  auto services = ListServices();
  auto vm = PickRemotePeer(aInput, aChunk);
  bool spent = budget_.IsSpent(GetExtentOf(aChunk));
  if (!services.empty() && (!spent || !vm)) {
    services.front().chunk = aChunk;
    return services.front();
  }
  if (!vm) {
    return std::nullopt;
  }
  auto endpoint = swarm_->peers.Find(*vm)->endpoint;
  return ExternalPick{ aChunk, SourceKind::RemotePeer, endpoint, *vm };
}

std::optional<ExternalPick>
ExternalSources::Next()
{
  auto held = services_.chunkStore.FindHeld(swarm_->version);
  if (running_ >= kMaxRunning || !held) {
    return std::nullopt;
  }
  const auto& node = services_.settings.node();
  PickInput input{ node.vm(),       node.region(), *held,
                   swarm_->running, swarm_->peers, clock_.Now() };
  auto count = held->GetSize();
  for (std::size_t chunk = 0; chunk < count; ++chunk) {
    bool wanted = !held->Has(chunk) && !swarm_->running.contains(chunk) &&
                  !IsHeldBack(chunk) && CountHolders(input, chunk) == 0 &&
                  IsDue(GetExtentOf(chunk));
    if (wanted) {
      if (auto pick = PickSource(input, chunk)) {
        return pick;
      }
    }
  }
  return std::nullopt;
}

void
ExternalSources::End(const ExternalPick& aPick,
                     std::size_t aBytes,
                     const utils::Error& aError)
{
  --running_;
  if (aBytes == 0 && aPick.kind != SourceKind::RemotePeer) {
    budget_.TakeBack(aPick.chunk);
  }
  auto service = std::ranges::find(list_, aPick.kind, &Service::kind);
  if (service == list_.end()) {
    return;
  }
  if (!aError.IsSet()) {
    service->failures = 0;
    return;
  }
  auto doublings = std::min(service->failures++, kMaxDoublings);
  service->avoidUntil =
    clock_.Now() + GetPause(aError.kind) * (std::int64_t(1) << doublings);
}

} // namespace waxwingyoke::weights
