#include "Outside.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::weights {

namespace {

// More would share the same link and make each chunk later.
constexpr int kMaxRunning = 1;
constexpr utils::Millis kMinPatience(2000);
constexpr std::int64_t kPatienceChunks = 10;
constexpr utils::Millis kServicePause(500);
constexpr int kMaxDoublings = 5;

} // namespace

Outside::Outside(Services aServices,
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

std::vector<OutsidePick>
Outside::ListServices() const
{
  std::vector<OutsidePick> picks;
  for (const auto& service : list_) {
    if (service.avoidUntil <= clock_.Now()) {
      picks.push_back({ 0, service.kind, service.endpoint, {} });
    }
  }
  return picks;
}

bool
Outside::IsDue(std::size_t aExtent)
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
Outside::GetExtentOf(std::size_t aChunk) const
{
  return GetExtent(aChunk, swarm_->content->chunks.size());
}

bool
Outside::Admit(const OutsidePick& aPick)
{
  return aPick.kind == SourceKind::RemotePeer ||
         budget_.Admit(aPick.chunk, GetExtentOf(aPick.chunk));
}

std::optional<OutsidePick>
Outside::PickSource(const PickInput& aInput, std::size_t aChunk) const
{
  auto services = ListServices();
  if (!services.empty() && !budget_.IsSpent(GetExtentOf(aChunk))) {
    services.front().chunk = aChunk;
    return services.front();
  }
  auto vm = PickRemotePeer(aInput, aChunk);
  if (!vm) {
    return std::nullopt;
  }
  auto endpoint = swarm_->peers.Find(*vm)->endpoint;
  return OutsidePick{ aChunk, SourceKind::RemotePeer, endpoint, *vm };
}

std::optional<OutsidePick>
Outside::Next()
{
  auto held = services_.holdings.FindHeld(swarm_->version);
  if (running_ >= kMaxRunning || !held) {
    return std::nullopt;
  }
  const auto& node = services_.settings.node();
  PickInput input{ node.vm(),       node.region(), *held,
                   swarm_->running, swarm_->peers, clock_.Now() };
  auto count = held->GetSize();
  for (std::size_t chunk = 0; chunk < count; ++chunk) {
    bool wanted = !held->Has(chunk) && !swarm_->running.contains(chunk) &&
                  CountHolders(input, chunk) == 0 && IsDue(GetExtentOf(chunk));
    if (wanted) {
      if (auto pick = PickSource(input, chunk)) {
        return pick;
      }
    }
  }
  return std::nullopt;
}

void
Outside::End(const OutsidePick& aPick, const utils::Error& aError)
{
  --running_;
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
    clock_.Now() + kServicePause * (std::int64_t(1) << doublings);
}

} // namespace waxwingyoke::weights
