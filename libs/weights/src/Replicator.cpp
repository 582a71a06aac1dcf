#include <weights/Replicator.h>

#include <algorithm>
#include <set>
#include <utility>

#include <profiles/Config.h>
#include <schema/weights.pb.h>
#include <telemetry/Logger.h>

#include "ChunkRoutes.h"
#include "ChunkStore.h"
#include "Offers.h"
#include "RolloutLog.h"
#include "SwitchOver.h"
#include "Transfer.h"

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

constexpr utils::Millis kStepPause(100);
// The interval of polling the engine while nothing changes.
constexpr utils::Millis kEnginePollPause(500);

std::optional<schema::Profile>
FindDesired(const ReplicatorContext& aContext)
{
  auto view = aContext.node.GetView();
  const auto* member = view->FindMember(aContext.settings.node().vm());
  const auto* profile =
    member ? view->config->FindProfileOf(member->vm) : nullptr;
  return profile ? std::optional(*profile) : std::nullopt;
}

} // namespace

struct Replicator::Impl : std::enable_shared_from_this<Replicator::Impl>
{
  Impl(const schema::DaemonSettings& aSettings,
       membership::Node& aNode,
       platform::LogClient& aLog,
       net::HttpClient& aHttp,
       rpc::RpcClient& aRpc,
       Hooks aHooks);

  void Run();
  void Step();
  void StepUnselected();
  void StepSelected(const schema::Profile& aProfile);
  void EnsureTransfer(const utils::Digest& aVersion, std::uint64_t aRevision);
  void EvictVersions(const utils::Digest& aDesired);
  void StepEngine(const schema::Profile& aProfile, bool aComplete);
  void ReportStatus();

  const schema::DaemonSettings settings;
  ChunkStore chunkStore;
  RolloutLog rollout;
  net::Pacer link;
  net::Pacer regionLink;
  RegionShare regionShare;
  ChunkRoutes routes;
  Offers offers;
  ReplicatorContext context;
  SwitchOver switchOver;
  std::shared_ptr<Transfer> transfer;
  utils::Error error;
  utils::Clock clock;
  utils::Millis nextEnginePollAt;
  bool wasComplete = false;
  /** The versions of the last eviction. */
  std::set<utils::Digest> keptVersions;
  std::string lastReported;
};

Replicator::Impl::Impl(const schema::DaemonSettings& aSettings,
                       membership::Node& aNode,
                       platform::LogClient& aLog,
                       net::HttpClient& aHttp,
                       rpc::RpcClient& aRpc,
                       Hooks aHooks)
  : settings(aSettings)
  , chunkStore(aSettings.weights().memory_bytes())
  , rollout(aLog)
  , link(aSettings.weights().link_bytes_per_s())
  , regionLink(aSettings.weights().region_bytes_per_s())
  , regionShare(aSettings.weights().region_bytes_per_s())
  , routes(chunkStore, link)
  , offers(aSettings.node().vm(), aNode.GetIncarnation(), chunkStore, routes)
  , context{ settings, aNode, aHttp,      aRpc,       chunkStore,
             offers,   link,  regionLink, regionShare }
  , switchOver(context, rollout, std::move(aHooks))
{
}

void
Replicator::Impl::Run()
{
  while (true) {
    Step();
    ReportStatus();
    net::Runtime::Sleep(kStepPause);
  }
}

void
Replicator::Impl::Step()
{
  auto profile = FindDesired(context);
  if (!profile) {
    if (transfer) {
      transfer->Cancel();
      transfer = nullptr;
    }
    StepUnselected();
  } else {
    StepSelected(*profile);
  }
}

void
Replicator::Impl::StepUnselected()
{
  auto view = context.node.GetView();
  const auto* member = view->FindMember(context.settings.node().vm());
  bool isKnown = view->config->nextOffset > 0 && member != nullptr &&
                 !member->vm.group().empty();
  if (isKnown) {
    switchOver.DrainAndUnload(view->config->nextOffset);
  } else {
    switchOver.ClearServing();
  }
}

void
Replicator::Impl::StepSelected(const schema::Profile& aProfile)
{
  auto version = utils::Digest::Parse(aProfile.version());
  if (!version) {
    error.Set(ErrorKind::BadRequest, "the profile's version is not a digest");
    return;
  }
  error = {};
  EnsureTransfer(*version, aProfile.revision());
  EvictVersions(*version);
  StepEngine(aProfile, chunkStore.IsComplete(*version));
}

void
Replicator::Impl::EnsureTransfer(const utils::Digest& aVersion,
                                 std::uint64_t aRevision)
{
  if (transfer && transfer->GetVersion() == aVersion) {
    return;
  }
  // Nothing is evicted here: until the new manifest is stored, any chunk may
  // belong to the new version too.
  if (transfer) {
    transfer->Cancel();
  }
  transfer = std::make_shared<Transfer>(context, rollout, aVersion, aRevision);
  transfer->Start();
  wasComplete = false;
}

// Keeps the desired version and the one that the engine serves, since other
// sides may still fetch the latter from here.
void
Replicator::Impl::EvictVersions(const utils::Digest& aDesired)
{
  if (!chunkStore.FindContent(aDesired)) {
    return;
  }
  std::set<utils::Digest> needed{ aDesired };
  auto serving = utils::Digest::Parse(switchOver.GetServing().version);
  if (serving) {
    needed.insert(*serving);
  }
  if (needed != keptVersions) {
    keptVersions = needed;
    chunkStore.KeepOnly(keptVersions);
  }
}

void
Replicator::Impl::StepEngine(const schema::Profile& aProfile, bool aComplete)
{
  auto serving = switchOver.GetServing();
  bool changed = aComplete != std::exchange(wasComplete, aComplete) ||
                 serving.revision != aProfile.revision();
  if (!changed && clock.Now() < nextEnginePollAt) {
    return;
  }
  nextEnginePollAt = clock.Now() + kEnginePollPause;
  switchOver.Step(aProfile, aComplete);
}

void
Replicator::Impl::ReportStatus()
{
  schema::TransferProgress progress;
  utils::Error reason = error.IsSet() ? error : switchOver.GetLastError();
  if (transfer) {
    progress = transfer->GetProgress();
    reason = reason.IsSet() ? reason : transfer->GetLastError();
  }
  std::string failure;
  if (reason.IsSet()) {
    failure = std::string(utils::GetName(reason.kind)) + ": " + reason.detail;
  }
  auto text = progress.SerializeAsString() + failure;
  if (text == lastReported) {
    return;
  }
  lastReported = text;
  context.node.UpdateStatus([&](schema::NodeStatus& aStatus) {
    *aStatus.mutable_transfer() = progress;
    aStatus.set_failure(failure);
  });
}

Replicator::Replicator(net::Runtime& aRuntime,
                       const schema::DaemonSettings& aSettings,
                       membership::Node& aNode,
                       platform::LogClient& aLog,
                       net::HttpClient& aHttp,
                       rpc::RpcClient& aRpc,
                       Hooks aHooks)
  : runtime_(aRuntime)
  , impl_(std::make_shared<Impl>(aSettings,
                                 aNode,
                                 aLog,
                                 aHttp,
                                 aRpc,
                                 std::move(aHooks)))
{
}

Replicator::~Replicator() = default;

void
Replicator::AddRoutes(net::Router& aRouter)
{
  impl_->routes.AddPeerRoutes(aRouter, impl_->settings.node().secret());
}

void
Replicator::AddEngineRoutes(net::Router& aRouter)
{
  impl_->routes.AddEngineRoutes(aRouter);
}

void
Replicator::AddMethods(rpc::RpcServer& aServer)
{
  impl_->offers.AddMethods(aServer);
}

void
Replicator::Start()
{
  runtime_.Spawn([impl = impl_] { impl->Run(); });
}

ServingState
Replicator::GetServing() const
{
  return impl_->switchOver.GetServing();
}

void
Replicator::ChargeLiveTraffic(std::size_t aBytes)
{
  impl_->link.Charge(aBytes);
}

} // namespace waxwingyoke::weights
