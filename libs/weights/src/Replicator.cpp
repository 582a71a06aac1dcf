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
// The engine is asked this seldom while nothing changes.
constexpr utils::Millis kEnginePause(500);

std::optional<schema::Profile>
FindDesired(const Services& aServices)
{
  auto view = aServices.node.GetView();
  const auto* member = view->FindMember(aServices.settings.node().vm());
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
  void StepModel(const schema::Profile& aProfile);
  void Want(const utils::Digest& aVersion, std::uint64_t aRevision);
  void Trim(const utils::Digest& aWanted);
  void StepEngine(const schema::Profile& aProfile, bool aWhole);
  void Report();

  const schema::DaemonSettings settings;
  ChunkStore chunkStore;
  RolloutLog rollout;
  net::Pacer link;
  net::Pacer regionLink;
  RegionShare regionShare;
  ChunkRoutes routes;
  Offers offers;
  Services services;
  SwitchOver switchOver;
  std::shared_ptr<Transfer> transfer;
  utils::Error error;
  utils::Clock clock;
  utils::Millis nextEngineLook;
  bool wasWhole = false;
  /** The versions that were last kept. */
  std::set<utils::Digest> kept;
  std::string reported;
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
  , services{ settings, aNode, aHttp,      aRpc,       chunkStore,
              offers,   link,  regionLink, regionShare }
  , switchOver(services, rollout, std::move(aHooks))
{
}

void
Replicator::Impl::Run()
{
  while (true) {
    Step();
    Report();
    net::Runtime::Sleep(kStepPause);
  }
}

void
Replicator::Impl::Step()
{
  auto profile = FindDesired(services);
  if (!profile) {
    if (transfer) {
      transfer->Cancel();
      transfer = nullptr;
    }
    StepUnselected();
  } else {
    StepModel(*profile);
  }
}

void
Replicator::Impl::StepUnselected()
{
  auto view = services.node.GetView();
  const auto* member = view->FindMember(services.settings.node().vm());
  bool isKnown = view->config->nextOffset > 0 && member != nullptr &&
                 !member->vm.group().empty();
  if (isKnown) {
    switchOver.Withdraw(view->config->nextOffset);
  } else {
    switchOver.Forget();
  }
}

void
Replicator::Impl::StepModel(const schema::Profile& aProfile)
{
  auto version = utils::Digest::Parse(aProfile.version());
  if (!version) {
    error.Set(ErrorKind::BadRequest, "the profile's version is no digest");
    return;
  }
  error = {};
  Want(*version, aProfile.revision());
  Trim(*version);
  StepEngine(aProfile, chunkStore.IsWhole(*version));
}

void
Replicator::Impl::Want(const utils::Digest& aVersion, std::uint64_t aRevision)
{
  if (transfer && transfer->GetVersion() == aVersion) {
    return;
  }
  // Nothing is dropped here: until the new manifest is known, any chunk may
  // be one of the new version's as well.
  if (transfer) {
    transfer->Cancel();
  }
  transfer = std::make_shared<Transfer>(services, rollout, aVersion, aRevision);
  transfer->Start();
  wasWhole = false;
}

// Keeps what is wanted and what the engine serves, which others may still
// need from here.
void
Replicator::Impl::Trim(const utils::Digest& aWanted)
{
  if (!chunkStore.FindContent(aWanted)) {
    return;
  }
  std::set<utils::Digest> now{ aWanted };
  auto serving = utils::Digest::Parse(switchOver.GetServing().version);
  if (serving) {
    now.insert(*serving);
  }
  if (now != kept) {
    kept = now;
    chunkStore.KeepOnly(kept);
  }
}

void
Replicator::Impl::StepEngine(const schema::Profile& aProfile, bool aWhole)
{
  auto serving = switchOver.GetServing();
  bool changed = aWhole != std::exchange(wasWhole, aWhole) ||
                 serving.revision != aProfile.revision();
  if (!changed && clock.Now() < nextEngineLook) {
    return;
  }
  nextEngineLook = clock.Now() + kEnginePause;
  switchOver.Step(aProfile, aWhole);
}

void
Replicator::Impl::Report()
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
  if (text == reported) {
    return;
  }
  reported = text;
  services.node.UpdateStatus([&](schema::NodeStatus& aStatus) {
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
Replicator::ChargeLive(std::size_t aBytes)
{
  impl_->link.Charge(aBytes);
}

} // namespace waxwingyoke::weights
