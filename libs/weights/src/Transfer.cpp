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
constexpr utils::Millis kManifestRetryPause(100);
// Each further rank waits this much longer before it fetches the manifest from
// the store or the origin itself.
constexpr utils::Millis kManifestRankDelay(400);
constexpr std::ptrdiff_t kManifestFanOut = 4;
constexpr std::size_t kManifestPeersPerTry = 3;
constexpr utils::Millis kManifestDeadline(3000);
constexpr std::uint64_t kMaxManifestBytes = 16 << 20;
// Time without the manifest before a log line, and between two of them.
constexpr utils::Millis kManifestReportInterval(10000);

const telemetry::Logger&
GetLogger()
{
  static const telemetry::Logger sLogger("weights");
  return sLogger;
}

telemetry::Counter&
GetDownloadCounter(SourceKind aKind, bool aLocalRegion)
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
  return aLocalRegion ? sPeer : sRemote;
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

Transfer::Transfer(ReplicatorContext aContext,
                   RolloutLog& aLog,
                   const utils::Digest& aVersion,
                   std::uint64_t aRevision)
  : context_(aContext)
  , swarm_(std::make_shared<Swarm>())
  , gossip_(std::make_shared<Gossip>(aContext, swarm_))
  , budget_(aLog,
            { aContext.settings.node().vm(),
              aContext.node.GetIncarnation(),
              aContext.settings.node().region(),
              aVersion.ToHex(),
              aRevision })
  , externalSources_(aContext, swarm_, budget_)
  , fetcher_(aContext.http, aContext.link)
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
  if (auto held = context_.chunkStore.FindHeldChunks(swarm_->version)) {
    progress.set_chunks_held(static_cast<std::uint32_t>(held->GetCount()));
    progress.set_chunks_total(static_cast<std::uint32_t>(held->GetSize()));
  }
  return progress;
}

void
Transfer::Run()
{
  // Selects this version: from here on offers received for it are kept.
  context_.offers.TakeReceived(swarm_->version.ToHex());
  while (!swarm_->cancelled && !EnsureManifest()) {
    ReportMissingManifest();
    net::Runtime::Sleep(kManifestRetryPause);
  }
  if (swarm_->cancelled) {
    return;
  }
  swarm_->content = context_.chunkStore.FindContent(swarm_->version);
  if (swarm_->content->bytes > context_.chunkStore.GetMaxBytes()) {
    swarm_->lastError.Set(ErrorKind::TooLarge,
                          "the version exceeds weights.memory_bytes");
    return;
  }
  swarm_->peers.SetChunkCount(swarm_->content->chunks.size());
  GetLogger().Info("manifest stored",
                   { { "version", swarm_->version.ToHex() } });
  for (int worker = 0; worker < kWorkers; ++worker) {
    net::Runtime::SpawnHere([self = shared_from_this()] { self->RunWorker(); });
  }
  gossip_->Run();
  if (!swarm_->cancelled) {
    GetLogger().Info("version complete",
                     { { "version", swarm_->version.ToHex() } });
  }
}

bool
Transfer::EnsureManifest()
{
  if (context_.chunkStore.FindContent(swarm_->version)) {
    return true;
  }
  UpdatePeersFromView(context_, *swarm_);
  const auto& own = context_.settings.node();
  auto ranks = utils::RankMembers("manifest/" + swarm_->version.ToHex(),
                                  swarm_->regionVms);
  auto rank = std::ranges::find(ranks, own.vm()) - ranks.begin();
  if (clock_.Now() - startedAt_ >= kManifestRankDelay * rank) {
    auto services = externalSources_.ListServices();
    bool found = std::ranges::any_of(services, [&](const auto& aService) {
      return FetchManifestFrom(aService.endpoint, false);
    });
    return found || FetchManifestFromAnyPeer();
  }
  // Queries only the ancestors in a tree over the ranks, so that no side is
  // queried by all others.
  while (rank > 0) {
    rank = (rank - 1) / kManifestFanOut;
    const auto* peer = swarm_->peers.Find(ranks[std::size_t(rank)]);
    if (peer != nullptr && FetchManifestFrom(peer->endpoint, true)) {
      return true;
    }
  }
  return false;
}

// Single failures are expected while a version spreads. A version that no
// source has would otherwise leave no trace in the log.
void
Transfer::ReportMissingManifest()
{
  if (clock_.Now() - manifestReportedAt_ < kManifestReportInterval) {
    return;
  }
  manifestReportedAt_ = clock_.Now();
  const auto& error = swarm_->lastError;
  GetLogger().Warn("no source has sent the manifest",
                   { { "version", swarm_->version.ToHex() },
                     { "revision", std::to_string(swarm_->revision) },
                     { "error", std::string(utils::GetName(error.kind)) },
                     { "detail", error.detail } });
}

// Used where the store and the origin are unavailable: queries a few peers at a
// time, in an order that changes with each try.
bool
Transfer::FetchManifestFromAnyPeer()
{
  std::vector<std::string> vms;
  std::ranges::transform(swarm_->peers.GetPeers(),
                         std::back_inserter(vms),
                         [](const auto& aEntry) { return aEntry.first; });
  auto candidates = utils::RankMembers(std::to_string(manifestTries_++), vms);
  candidates.resize(std::min(candidates.size(), kManifestPeersPerTry));
  return std::ranges::any_of(candidates, [&](const std::string& aVm) {
    const auto* peer = swarm_->peers.Find(aVm);
    return peer != nullptr && FetchManifestFrom(peer->endpoint, true);
  });
}

bool
Transfer::FetchManifestFrom(const net::Endpoint& aSource, bool aPeer)
{
  FetchRequest request;
  request.source = aSource;
  request.path = "/manifests/" + swarm_->version.ToHex();
  if (aPeer) {
    request.fields = { net::MakeSecretField(
      context_.settings.node().secret()) };
  }
  request.maxBytes = kMaxManifestBytes;
  request.deadline = kManifestDeadline;
  request.shouldContinue = [this] { return !swarm_->cancelled; };
  request.onBytes = [](std::size_t) {};
  utils::Error reason;
  auto bytes = fetcher_.Fetch(request, reason);
  auto content =
    bytes ? Content::Read(swarm_->version, std::move(*bytes), reason) : nullptr;
  if (!content) {
    swarm_->lastError = reason;
    return false;
  }
  swarm_->lastError = {};
  context_.chunkStore.AddContent(content);
  return true;
}

void
Transfer::RunWorker()
{
  while (!swarm_->cancelled &&
         !context_.chunkStore.IsComplete(swarm_->version)) {
    if (!FetchFromExternalSource() && !FetchFromRegion()) {
      net::Runtime::Sleep(kIdlePause);
    }
  }
}

bool
Transfer::FetchFromRegion()
{
  auto held = context_.chunkStore.FindHeldChunks(swarm_->version);
  if (!held) {
    return false;
  }
  const auto& node = context_.settings.node();
  auto pick = PickFromRegion({ node.vm(),
                               node.region(),
                               *held,
                               swarm_->inFlight,
                               swarm_->peers,
                               clock_.Now() });
  if (!pick) {
    return false;
  }
  auto endpoint = swarm_->peers.Find(pick->peer)->endpoint;
  utils::Error reason;
  swarm_->peers.BeginFetch(pick->peer);
  std::size_t bytes = 0;
  ExternalPick localPick{
    pick->chunk, SourceKind::RemotePeer, endpoint, pick->peer
  };
  bool complete = FetchChunk(localPick, true, bytes, reason);
  swarm_->peers.EndFetch(pick->peer);
  RecordPeerResult(pick->peer, complete, reason);
  return true;
}

bool
Transfer::FetchFromExternalSource()
{
  auto pick = externalSources_.PickNext();
  if (!pick) {
    return false;
  }
  utils::Error reason;
  externalSources_.Begin();
  swarm_->inFlight.insert(pick->chunk);
  if (!externalSources_.Admit(*pick)) {
    swarm_->inFlight.erase(pick->chunk);
    externalSources_.CancelPick();
    return false;
  }
  swarm_->peers.BeginFetch(pick->vm);
  std::size_t bytes = 0;
  bool complete = FetchChunk(*pick, false, bytes, reason);
  swarm_->peers.EndFetch(pick->vm);
  externalSources_.End(*pick, bytes, reason);
  RecordPeerResult(pick->vm, complete, reason);
  return true;
}

void
Transfer::RecordPeerResult(const std::string& aVm,
                           bool aComplete,
                           const utils::Error& aReason)
{
  if (aComplete) {
    swarm_->lastError = {};
    swarm_->peers.RecordChunk(aVm);
  } else if (!swarm_->cancelled) {
    swarm_->peers.RecordFault(aVm, ToPeerFault(aReason.kind), clock_.Now());
  }
}

bool
Transfer::IsServiceLocal(const ExternalPick& aPick) const
{
  const auto& settings = context_.settings;
  return aPick.kind != SourceKind::RemotePeer &&
         settings.platform().region() == settings.node().region();
}

bool
Transfer::FetchChunk(const ExternalPick& aPick,
                     bool aLocalRegion,
                     std::size_t& aBytes,
                     utils::Error& aReason)
{
  const auto& chunk = swarm_->content->chunks[aPick.chunk];
  auto& counter = GetDownloadCounter(aPick.kind, aLocalRegion);
  FetchRequest request;
  request.source = aPick.endpoint;
  request.path = "/chunks/" + chunk.digest.ToHex();
  if (aPick.kind == SourceKind::RemotePeer) {
    request.fields = { net::MakeSecretField(
      context_.settings.node().secret()) };
  }
  request.maxBytes = chunk.bytes;
  auto& rate = aLocalRegion ? swarm_->rate : swarm_->externalRate;
  request.deadline = rate.GetDeadline(chunk.bytes);
  if (!aLocalRegion && !IsServiceLocal(aPick)) {
    request.regionLink = &context_.regionLink;
    request.onHeaders = [this](utils::Millis aDelay) {
      context_.regionShare.RecordDelay(aDelay);
    };
  }
  request.shouldContinue = [this] { return !swarm_->cancelled; };
  request.onBytes = [&](std::size_t aPart) {
    counter.Add(aPart);
    aBytes += aPart;
  };
  auto begin = clock_.Now();
  swarm_->inFlight.insert(aPick.chunk);
  auto bytes = fetcher_.Fetch(request, aReason);
  bool complete = bytes && context_.chunkStore.AddChunk(
                             chunk.digest, std::move(*bytes), aReason);
  swarm_->inFlight.erase(aPick.chunk);
  if (complete) {
    rate.Add(chunk.bytes, clock_.Now() - begin);
  } else if (aReason.kind != ErrorKind::Overloaded && !swarm_->cancelled) {
    swarm_->lastError = aReason;
    GetLogger().Report(aReason, { { "source", aPick.endpoint.ToString() } });
  }
  return complete;
}

} // namespace waxwingyoke::weights
