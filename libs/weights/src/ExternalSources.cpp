#include "ExternalSources.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

// Concurrent fetches would share the same link and delay each chunk.
constexpr int kMaxActiveFetches = 1;
constexpr utils::Millis kMinRankTimeout(4000);
constexpr std::int64_t kRankTimeoutChunks = 12;
constexpr utils::Millis kCorruptBackoff(300);
constexpr utils::Millis kRefusedBackoff(1000);
// Each fetch from a stalled source takes a full deadline.
constexpr utils::Millis kStalledBackoff(10000);
constexpr int kMaxDoublings = 3;
constexpr utils::Millis kDeferPause(300);

utils::Millis
GetBackoff(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::DigestMismatch:
      return kCorruptBackoff;
    case ErrorKind::TimedOut:
    case ErrorKind::DeadlineExceeded:
      return kStalledBackoff;
    default:
      return kRefusedBackoff;
  }
}

} // namespace

ExternalSources::ExternalSources(ReplicatorContext aContext,
                                 std::shared_ptr<Swarm> aSwarm,
                                 OriginBudget& aBudget)
  : context_(aContext)
  , swarm_(std::move(aSwarm))
  , budget_(aBudget)
{
  const auto& platform = context_.settings.platform();
  auto add = [&](SourceKind aKind, const std::string& aText) {
    if (auto endpoint = net::Endpoint::Parse(aText)) {
      services_.push_back({ aKind, *endpoint, utils::Millis(0), 0 });
    }
  };
  add(SourceKind::Store, platform.store());
  add(SourceKind::Origin, platform.origin());
}

std::vector<ExternalPick>
ExternalSources::ListServices() const
{
  std::vector<ExternalPick> picks;
  for (const auto& service : services_) {
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
  auto rankTimeout = std::max(
    kMinRankTimeout, swarm_->GetExpectedChunkTime() * kRankTimeoutChunks);
  return IsFailoverDue(ranks,
                       context_.settings.node().vm(),
                       swarm_->peers,
                       rankTimeout,
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
  deferredUntil_[aPick.chunk] = clock_.Now() + kDeferPause;
  return false;
}

bool
ExternalSources::IsDeferred(std::size_t aChunk) const
{
  auto found = deferredUntil_.find(aChunk);
  return found != deferredUntil_.end() && clock_.Now() < found->second;
}

std::optional<ExternalPick>
ExternalSources::PickSource(const PickInput& aInput, std::size_t aChunk) const
{
  auto services = ListServices();
  auto vm = PickRemotePeer(aInput, aChunk);
  bool exhausted = budget_.IsExhausted(GetExtentOf(aChunk));
  if (!services.empty() && (!exhausted || !vm)) {
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
ExternalSources::PickNext()
{
  auto held = context_.chunkStore.FindHeldChunks(swarm_->version);
  if (activeFetches_ >= kMaxActiveFetches || !held) {
    return std::nullopt;
  }
  const auto& node = context_.settings.node();
  PickInput input{ node.vm(),        node.region(), *held,
                   swarm_->inFlight, swarm_->peers, clock_.Now() };
  auto count = held->GetSize();
  for (std::size_t chunk = 0; chunk < count; ++chunk) {
    bool wanted = !held->Has(chunk) && !swarm_->inFlight.contains(chunk) &&
                  !IsDeferred(chunk) && CountHolders(input, chunk) == 0 &&
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
  --activeFetches_;
  if (aBytes == 0 && aPick.kind != SourceKind::RemotePeer) {
    budget_.RefundFetch(aPick.chunk);
  }
  auto service = std::ranges::find(services_, aPick.kind, &Service::kind);
  if (service == services_.end()) {
    return;
  }
  if (!aError.IsSet()) {
    service->failures = 0;
    return;
  }
  auto doublings = std::min(service->failures++, kMaxDoublings);
  service->avoidUntil =
    clock_.Now() + GetBackoff(aError.kind) * (std::int64_t(1) << doublings);
}

} // namespace waxwingyoke::weights
