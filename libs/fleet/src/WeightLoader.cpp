#include "WeightLoader.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <net/Runtime.h>
#include <utils/Hash.h>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Before any version is named the fleet serves the first one.
constexpr std::uint64_t kFirstVersion = 1;
// Work that runs is let to end before a load; no answer takes longer.
constexpr Millis kLoadTimeout(12000);
// Until the upstream's report shows an order that it accepted.
constexpr Millis kOrderSeen(400);
// Before the order, for entries to hear that no new work is taken.
constexpr Millis kAnnounceTime(40);
// Between looks for a newer version while a turn is awaited; short against the
// time that a load takes.
constexpr Millis kTurnPoll(50);

} // namespace

WeightLoader::WeightLoader(const platform::FleetSettings& aSettings,
                           platform::LocalUpstream& aUpstream,
                           ConfigFollower& aConfig,
                           PeerLink& aPeers,
                           PieceStore& aStore,
                           PieceExchange& aPieces,
                           std::function<void()> aOnServing)
  : settings_(aSettings)
  , upstream_(aUpstream)
  , config_(aConfig)
  , peers_(aPeers)
  , store_(aStore)
  , pieces_(aPieces)
  , onServing_(std::move(aOnServing))
{
}

// Null while nothing is known of the service, or if it runs no engine. Valid
// as long as the caller holds the configuration.
const platform::EngineTraits*
WeightLoader::FindEngine() const
{
  auto config = config_.GetConfig();
  const auto* service =
    config ? config->FindService(settings_.localService) : nullptr;
  return service != nullptr && service->engine ? &*service->engine : nullptr;
}

std::uint64_t
WeightLoader::GetHeld() const
{
  auto config = config_.GetConfig();
  const auto* engine = FindEngine();
  return engine != nullptr && report_
           ? platform::FindCompleteVersion(
               report_->held, engine->model, engine->layers)
           : 0;
}

std::uint64_t
WeightLoader::GetHeldSoon() const
{
  return loading_ ? loading_->version : GetHeld();
}

Serving
WeightLoader::GetServing() const
{
  auto version = GetHeld();
  return { version, version > 0 && !loading_ };
}

bool
WeightLoader::IsCalm() const
{
  const auto* engine = FindEngine();
  return engine != nullptr && report_ && !loading_ &&
         GetHeld() >= ChooseTarget(*engine).version;
}

void
WeightLoader::TakeReport(const std::optional<platform::UpstreamReport>& aReport)
{
  auto before = GetServing();
  bool restarted =
    report_ && aReport && report_->startedMs != aReport->startedMs;
  report_ = aReport;
  if (restarted) {
    logger_.Info("the upstream started anew");
    loading_.reset();
    store_.Verify();
  }
  if (loading_) {
    auto age = clock_.Now() - loading_->orderedAt;
    bool done = GetHeld() == loading_->version;
    bool idle = report_ && !report_->busy && age > kOrderSeen;
    if (done || idle || age > kLoadTimeout) {
      EndLoading(done);
    }
  }
  auto now = GetServing();
  if (now.version != before.version || now.accepting != before.accepting) {
    onServing_();
  }
}

void
WeightLoader::EndLoading(bool aDone)
{
  auto loading = *std::exchange(loading_, std::nullopt);
  std::vector<telemetry::Field> fields{
    { "version", std::to_string(loading.version) },
    { "took_ms", std::to_string((clock_.Now() - loading.orderedAt).value) }
  };
  if (aDone) {
    logger_.Info("loaded", fields);
  } else {
    logger_.Warn("not loaded", fields);
  }
}

bool
WeightLoader::IsSupersededWanted(const NamedVersion& aNewest) const
{
  auto staged = store_.GetList().version;
  if (staged <= GetHeldSoon() || staged >= aNewest.version) {
    return false;
  }
  return IsWorthFinishing({ MakeSwitchTerms(staged),
                            pieces_.IsRestHeld(),
                            pieces_.IsOriginAnswering() });
}

NamedVersion
WeightLoader::ChooseTarget(const platform::EngineTraits& aEngine) const
{
  auto newest = config_.FindVersion(aEngine.model)
                  .value_or(NamedVersion{ kFirstVersion, {}, false });
  const auto& list = store_.GetList();
  if (list.model != aEngine.model || !IsSupersededWanted(newest)) {
    return newest;
  }
  return config_.FindNextVersion(aEngine.model, list.version - 1)
    .value_or(newest);
}

bool
WeightLoader::Step()
{
  auto config = config_.GetConfig();
  const auto* engine = FindEngine();
  if (engine == nullptr || !report_) {
    return false;
  }
  auto target = ChooseTarget(*engine);
  auto order = MakeOrder(*config, *engine, target);
  if (!BeginStaging(order, *engine, target)) {
    return false;
  }
  // What lies staged here others may want, also when it is loaded.
  if (GetHeldSoon() >= target.version) {
    return true;
  }
  if (!pieces_.FetchMissing(order) || !order.isWanted()) {
    return false;
  }
  auto delay = GetSwitchDelay(*engine, target);
  LogStaged(target, delay);
  return AwaitTurn(order, delay) && Switch(*engine, target);
}

// False, and at once, if the version is not wanted any more.
bool
WeightLoader::AwaitTurn(const FetchOrder& aOrder, Millis aDelay) const
{
  auto until = clock_.Now() + aDelay;
  while (aOrder.isWanted()) {
    auto left = until - clock_.Now();
    if (left <= Millis(0)) {
      return true;
    }
    net::Runtime::Sleep(std::min(kTurnPoll, left));
  }
  return false;
}

void
WeightLoader::LogStaged(const NamedVersion& aTarget, Millis aDelay) const
{
  auto text = [](auto aNumber) { return std::to_string(aNumber); };
  const auto& sources = pieces_.GetSources();
  logger_.Info(
    "staged",
    { { "version", text(aTarget.version) },
      { "from_origin", text(sources.origin.pieces) },
      { "origin_last_ms", text(sources.origin.lastAfter.value) },
      { "from_other_regions", text(sources.otherRegions.pieces) },
      { "other_regions_last_ms", text(sources.otherRegions.lastAfter.value) },
      { "from_own_region", text(sources.ownRegion.pieces) },
      { "own_region_last_ms", text(sources.ownRegion.lastAfter.value) },
      { "switch_in_ms", text(aDelay.value) } });
}

FetchOrder
WeightLoader::MakeOrder(const platform::FleetConfig& aConfig,
                        const platform::EngineTraits& aEngine,
                        const NamedVersion& aTarget) const
{
  FetchOrder order;
  order.origin = aConfig.FindOrigin();
  order.isNew = aTarget.learntLive;
  order.isWanted = [this, &aEngine, version = aTarget.version] {
    return ChooseTarget(aEngine).version == version;
  };
  return order;
}

// Learns what the version consists of and what of it lies here.
bool
WeightLoader::BeginStaging(const FetchOrder& aOrder,
                           const platform::EngineTraits& aEngine,
                           const NamedVersion& aTarget)
{
  const auto& list = store_.GetList();
  if (list.model == aEngine.model && list.version == aTarget.version) {
    return true;
  }
  utils::Error reason;
  auto begun = clock_.Now();
  auto fresh = pieces_.GetList(aOrder, aEngine.model, aTarget.version, reason);
  if (!fresh) {
    if (reason.IsSet()) {
      logger_.Report(reason, { { "step", "list" } });
    }
    return false;
  }
  store_.Begin(*fresh);
  pieces_.NoteChange();
  logger_.Info("staging",
               { { "version", std::to_string(aTarget.version) },
                 { "missing", std::to_string(store_.GetMissing().size()) },
                 { "list_ms", std::to_string((clock_.Now() - begun).value) } });
  return true;
}

// Without its times.
SwitchTerms
WeightLoader::MakeSwitchTerms(std::uint64_t aVersion) const
{
  std::vector<std::string> vms{ settings_.vm };
  std::ranges::transform(
    peers_.List(PeerRole::Side), std::back_inserter(vms), &Peer::vm);
  auto ranked = utils::RankMembers(std::to_string(aVersion), std::move(vms));
  SwitchTerms terms;
  terms.sides = ranked.size();
  terms.rank = static_cast<std::size_t>(
    std::ranges::find(ranked, settings_.vm) - ranked.begin());
  return terms;
}

Millis
WeightLoader::GetSwitchDelay(const platform::EngineTraits& aEngine,
                             const NamedVersion& aTarget) const
{
  auto terms = MakeSwitchTerms(aTarget.version);
  terms.idle = GetHeld() == 0 || !aTarget.learntLive;
  // With two versions named in a row the first one's limit binds.
  auto next =
    config_.FindNextVersion(aEngine.model, GetHeldSoon()).value_or(aTarget);
  terms.age = clock_.Now() - next.learntAt;
  terms.limit = settings_.bounds.version;
  return PlanSwitch(terms);
}

// What lies staged may have been damaged since it was checked.
bool
WeightLoader::Switch(const platform::EngineTraits& aEngine,
                     const NamedVersion& aTarget)
{
  store_.Verify();
  if (!store_.GetMissing().empty()) {
    logger_.Warn("staged pieces were damaged",
                 { { "pieces", std::to_string(store_.GetMissing().size()) } });
    return false;
  }
  loading_ = Loading{ aTarget.version, clock_.Now() };
  onServing_();
  net::Runtime::Sleep(kAnnounceTime);
  utils::Error reason;
  auto result = upstream_.OrderLoad(aEngine.model, aTarget.version, reason);
  if (!result) {
    // It may have been accepted all the same: the next reports tell.
    logger_.Report(reason, { { "step", "order" } });
    return true;
  }
  bool fits = *result != platform::OrderResult::Conflict;
  logger_.Info("load ordered",
               { { "version", std::to_string(aTarget.version) },
                 { "accepted", fits ? "yes" : "no" } });
  if (!fits) {
    EndLoading(false);
    onServing_();
  }
  return fits;
}

} // namespace waxwingyoke::fleet
