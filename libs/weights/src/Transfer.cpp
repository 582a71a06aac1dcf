#include "Transfer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <net/Router.h>
#include <net/Runtime.h>
#include <telemetry/Logger.h>
#include <telemetry/Metrics.h>
#include <utils/Hash.h>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

constexpr int kWorkers = 3;
constexpr utils::Millis kIdlePause(20);
constexpr utils::Millis kManifestPause(100);
// Ranks step in one after another where the first does not bring it.
constexpr utils::Millis kManifestStagger(400);
constexpr std::ptrdiff_t kManifestFanOut = 4;
constexpr std::size_t kManifestAsks = 3;
constexpr utils::Millis kManifestDeadline(3000);
constexpr std::uint64_t kMaxManifestBytes = 16 << 20;

const telemetry::Logger&
GetLogger()
{
  static const telemetry::Logger sLogger("weights");
  return sLogger;
}

telemetry::Counter&
GetDownCounter(SourceKind aKind, bool aOwnRegion)
{
  auto& metrics = telemetry::Metrics::Get();
  static auto& sStore = metrics.GetCounter("weights_down_store_bytes_total");
  static auto& sOrigin = metrics.GetCounter("weights_down_origin_bytes_total");
  static auto& sRemote = metrics.GetCounter("weights_down_remote_bytes_total");
  static auto& sPeer = metrics.GetCounter("weights_down_peer_bytes_total");
  switch (aKind) {
    case SourceKind::Store:
      return sStore;
    case SourceKind::Origin:
      return sOrigin;
    case SourceKind::RemotePeer:
      break;
  }
  return aOwnRegion ? sPeer : sRemote;
}

PeerFault
ToPeerFault(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::Overloaded:
      return PeerFault::Busy;
    case ErrorKind::NotFound:
      return PeerFault::Missing;
    case ErrorKind::DigestMismatch:
    case ErrorKind::TooLarge:
      return PeerFault::Corrupt;
    default:
      return PeerFault::Failed;
  }
}

} // namespace

Transfer::Transfer(Services aServices,
                   RolloutLog& aLog,
                   const utils::Digest& aVersion,
                   std::uint64_t aRevision)
  : services_(aServices)
  , swarm_(std::make_shared<Swarm>())
  , gossip_(std::make_shared<Gossip>(aServices, swarm_))
  , budget_(aLog,
            { aServices.settings.node().vm(),
              aServices.node.GetIncarnation(),
              aServices.settings.node().region(),
              aVersion.ToHex(),
              aRevision })
  , outside_(aServices, swarm_, budget_)
  , fetcher_(aServices.http, aServices.link)
{
  swarm_->version = aVersion;
  swarm_->revision = aRevision;
}

void
Transfer::Start()
{
  net::Runtime::SpawnHere([self = shared_from_this()] { self->Run(); });
}

schema::TransferProgress
Transfer::GetProgress() const
{
  schema::TransferProgress progress;
  progress.set_version(swarm_->version.ToHex());
  if (auto held = services_.chunkStore.FindHeld(swarm_->version)) {
    progress.set_chunks_held(static_cast<std::uint32_t>(held->GetCount()));
    progress.set_chunks_total(static_cast<std::uint32_t>(held->GetSize()));
  }
  return progress;
}

void
Transfer::Run()
{
  // Names the version that askers' offers are kept for.
  services_.offers.TakeHeard(swarm_->version.ToHex());
  while (!swarm_->cancelled && !FindManifest()) {
    net::Runtime::Sleep(kManifestPause);
  }
  if (swarm_->cancelled) {
    return;
  }
  swarm_->content = services_.chunkStore.FindContent(swarm_->version);
  if (swarm_->content->bytes > services_.chunkStore.GetMaxBytes()) {
    swarm_->lastError.Set(ErrorKind::TooLarge,
                          "the version exceeds weights.memory_bytes");
    return;
  }
  swarm_->peers.SetChunkCount(swarm_->content->chunks.size());
  GetLogger().Info("manifest held", { { "version", swarm_->version.ToHex() } });
  for (int worker = 0; worker < kWorkers; ++worker) {
    net::Runtime::SpawnHere([self = shared_from_this()] { self->Work(); });
  }
  gossip_->Run();
  if (!swarm_->cancelled) {
    GetLogger().Info("version whole",
                     { { "version", swarm_->version.ToHex() } });
  }
}

bool
Transfer::FindManifest()
{
  if (services_.chunkStore.FindContent(swarm_->version)) {
    return true;
  }
  SeeMembers(services_, *swarm_);
  const auto& own = services_.settings.node();
  auto ranks = utils::RankMembers("manifest/" + swarm_->version.ToHex(),
                                  swarm_->regionVms);
  auto rank = std::ranges::find(ranks, own.vm()) - ranks.begin();
  if (clock_.Now() - startedAt_ >= kManifestStagger * rank) {
    auto services = outside_.ListServices();
    bool found = std::ranges::any_of(services, [&](const auto& aService) {
      return FetchManifestFrom(aService.endpoint, false);
    });
    return found || FetchManifestFromAnyPeer();
  }
  // Its ancestors in a tree over the ranks, so that nobody is asked by all.
  while (rank > 0) {
    rank = (rank - 1) / kManifestFanOut;
    const auto* peer = swarm_->peers.Find(ranks[std::size_t(rank)]);
    if (peer != nullptr && FetchManifestFrom(peer->endpoint, true)) {
      return true;
    }
  }
  return false;
}

// With the store and the origin out, whoever has it will do.
bool
Transfer::FetchManifestFromAnyPeer()
{
  std::vector<std::string> vms;
  std::ranges::transform(swarm_->peers.GetPeers(),
                         std::back_inserter(vms),
                         [](const auto& aEntry) { return aEntry.first; });
  auto order = utils::RankMembers(std::to_string(manifestTries_++), vms);
  order.resize(std::min(order.size(), kManifestAsks));
  return std::ranges::any_of(order, [&](const std::string& aVm) {
    const auto* peer = swarm_->peers.Find(aVm);
    return peer != nullptr && FetchManifestFrom(peer->endpoint, true);
  });
}

bool
Transfer::FetchManifestFrom(const net::Endpoint& aSource, bool aPeer)
{
  FetchOrder order;
  order.source = aSource;
  order.path = "/manifests/" + swarm_->version.ToHex();
  if (aPeer) {
    order.fields = { net::MakeSecretField(services_.settings.node().secret()) };
  }
  order.maxBytes = kMaxManifestBytes;
  order.deadline = kManifestDeadline;
  order.goOn = [this] { return !swarm_->cancelled; };
  order.onBytes = [](std::size_t) {};
  utils::Error reason;
  auto bytes = fetcher_.Fetch(order, reason);
  auto content =
    bytes ? Content::Read(swarm_->version, std::move(*bytes), reason) : nullptr;
  if (!content) {
    swarm_->lastError = reason;
    return false;
  }
  swarm_->lastError = {};
  services_.chunkStore.AddContent(content);
  return true;
}

void
Transfer::Work()
{
  while (!swarm_->cancelled && !services_.chunkStore.IsWhole(swarm_->version)) {
    if (!FetchFromOutside() && !FetchFromRegion()) {
      net::Runtime::Sleep(kIdlePause);
    }
  }
}

bool
Transfer::FetchFromRegion()
{
  auto held = services_.chunkStore.FindHeld(swarm_->version);
  if (!held) {
    return false;
  }
  const auto& node = services_.settings.node();
  auto pick = PickFromRegion({ node.vm(),
                               node.region(),
                               *held,
                               swarm_->running,
                               swarm_->peers,
                               clock_.Now() });
  if (!pick) {
    return false;
  }
  auto endpoint = swarm_->peers.Find(pick->peer)->endpoint;
  utils::Error reason;
  swarm_->peers.BeginFetch(pick->peer);
  std::size_t bytes = 0;
  ExternalPick near{
    pick->chunk, SourceKind::RemotePeer, endpoint, pick->peer
  };
  bool whole = FetchChunk(near, true, bytes, reason);
  swarm_->peers.EndFetch(pick->peer);
  NotePeer(pick->peer, whole, reason);
  return true;
}

bool
Transfer::FetchFromOutside()
{
  auto pick = outside_.Next();
  if (!pick) {
    return false;
  }
  utils::Error reason;
  outside_.Begin();
  swarm_->running.insert(pick->chunk);
  if (!outside_.Admit(*pick)) {
    swarm_->running.erase(pick->chunk);
    outside_.GiveUp();
    return false;
  }
  swarm_->peers.BeginFetch(pick->vm);
  std::size_t bytes = 0;
  bool whole = FetchChunk(*pick, false, bytes, reason);
  swarm_->peers.EndFetch(pick->vm);
  outside_.End(*pick, bytes, reason);
  NotePeer(pick->vm, whole, reason);
  return true;
}

void
Transfer::NotePeer(const std::string& aVm,
                   bool aWhole,
                   const utils::Error& aReason)
{
  if (aWhole) {
    swarm_->lastError = {};
    swarm_->peers.NoteChunk(aVm);
  } else if (!swarm_->cancelled) {
    swarm_->peers.NoteFault(aVm, ToPeerFault(aReason.kind), clock_.Now());
  }
}

bool
Transfer::IsServiceNear(const ExternalPick& aPick) const
{
  const auto& settings = services_.settings;
  return aPick.kind != SourceKind::RemotePeer &&
         settings.platform().region() == settings.node().region();
}

bool
Transfer::FetchChunk(const ExternalPick& aPick,
                     bool aOwnRegion,
                     std::size_t& aBytes,
                     utils::Error& aReason)
{
  const auto& chunk = swarm_->content->chunks[aPick.chunk];
  auto& counter = GetDownCounter(aPick.kind, aOwnRegion);
  FetchOrder order;
  order.source = aPick.endpoint;
  order.path = "/chunks/" + chunk.digest.ToHex();
  if (aPick.kind == SourceKind::RemotePeer) {
    order.fields = { net::MakeSecretField(services_.settings.node().secret()) };
  }
  order.maxBytes = chunk.bytes;
  auto& rate = aOwnRegion ? swarm_->rate : swarm_->outsideRate;
  order.deadline = rate.GetDeadline(chunk.bytes);
  if (!aOwnRegion && !IsServiceNear(aPick)) {
    order.regionLink = &services_.regionLink;
    order.onHead = [this](utils::Millis aDelay) {
      services_.regionShare.NoteDelay(aDelay);
    };
  }
  order.goOn = [this] { return !swarm_->cancelled; };
  order.onBytes = [&](std::size_t aPart) {
    counter.Add(aPart);
    aBytes += aPart;
  };
  auto begin = clock_.Now();
  swarm_->running.insert(aPick.chunk);
  auto bytes = fetcher_.Fetch(order, aReason);
  bool whole = bytes && services_.chunkStore.AddChunk(
                          chunk.digest, std::move(*bytes), aReason);
  swarm_->running.erase(aPick.chunk);
  if (whole) {
    rate.Add(chunk.bytes, clock_.Now() - begin);
  } else if (aReason.kind != ErrorKind::Overloaded && !swarm_->cancelled) {
    swarm_->lastError = aReason;
    GetLogger().Report(aReason, { { "source", aPick.endpoint.ToString() } });
  }
  return whole;
}

} // namespace waxwingyoke::weights
