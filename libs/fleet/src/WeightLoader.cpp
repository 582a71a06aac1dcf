#include "WeightLoader.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <net/Runtime.h>
#include <telemetry/Metrics.h>
#include <utils/Hash.h>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Target while the operator has not named any version.
constexpr std::uint64_t kFirstVersion = 1;
// The upstream finishes its running work before it loads; no answer takes
// longer.
constexpr Millis kLoadTimeout(12000);
// Time until the upstream's report shows an order that it accepted.
constexpr Millis kOrderReportDelay(400);
// Delay before the order, so that entries are notified to send no new work.
constexpr Millis kAnnounceDelay(40);
// Between checks for a newer version while the scheduled switch is awaited;
// short compared to the duration of a load.
constexpr Millis kTargetPollInterval(50);
// From the last look at the clock until the upstream has read the order. An
// order that takes longer is accepted on a check that proves nothing.
constexpr Millis kOrderTransitTime(1000);
constexpr Millis kMaxCheckAge =
  platform::kDamageDetectionTime - kOrderTransitTime;
// Limits of what is read for a piece and for a list of pieces. A configuration
// that states too small a size stops no transfer of usual size.
constexpr std::size_t kMinSizeLimit = 64 * 1024;
// Where the configuration does not state the size.
constexpr std::size_t kDefaultPieceLimit = 4 << 20;
constexpr std::size_t kDefaultListLimit = 1 << 20;
// A digest in hexadecimal with its quotes, separator and spaces.
constexpr std::size_t kListBytesPerPiece = 80;

void
CountRefuted()
{
  static auto& sRefuted =
    telemetry::Metrics::Get().GetCounter("fleet_loads_refuted_total");
  sRefuted.Add();
}

std::size_t
LimitSize(std::size_t aStated, std::size_t aDefault)
{
  return aStated == 0 ? aDefault : std::max(aStated, kMinSizeLimit);
}

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

// Null if the local service is not in the configuration or runs no engine.
// Valid as long as the caller holds the configuration.
const platform::EngineTraits*
WeightLoader::FindEngine() const
{
  auto config = config_.GetConfig();
  const auto* service =
    config ? config->FindService(settings_.localService) : nullptr;
  return service != nullptr && service->engine ? &*service->engine : nullptr;
}

std::uint64_t
WeightLoader::GetLoadedVersion() const
{
  auto config = config_.GetConfig();
  const auto* engine = FindEngine();
  return engine != nullptr && report_
           ? platform::FindCompleteVersion(
               report_->held, engine->model, engine->layers)
           : 0;
}

std::uint64_t
WeightLoader::GetHeldVersion(const platform::EngineTraits& aEngine) const
{
  auto held = report_ ? report_->held : std::vector<platform::HeldLayers>();
  auto part =
    std::ranges::find(held, aEngine.model, &platform::HeldLayers::model);
  return part == held.end() ? 0 : part->version;
}

std::uint64_t
WeightLoader::GetExpectedVersion() const
{
  if (loading_) {
    return loading_->version;
  }
  return tracker_.IsRefuted() ? 0 : GetLoadedVersion();
}

Serving
WeightLoader::GetServing() const
{
  auto version = GetLoadedVersion();
  return { version, version > 0 && !loading_ && tracker_.IsProven() };
}

bool
WeightLoader::IsUpToDate() const
{
  const auto* engine = FindEngine();
  return engine != nullptr && report_ && !loading_ && tracker_.IsProven() &&
         GetLoadedVersion() >= ChooseTarget(*engine).version;
}

std::optional<platform::UpstreamReport>
WeightLoader::ReadReport(utils::Error& aReason)
{
  auto sentAt = clock_.Now();
  auto report = upstream_.GetReport(aReason);
  ApplyReport(report, sentAt);
  return report;
}

void
WeightLoader::ApplyReport(
  const std::optional<platform::UpstreamReport>& aReport,
  Millis aSentAt)
{
  auto before = GetServing();
  bool restarted =
    report_ && aReport && report_->startedMs != aReport->startedMs;
  LogAcceptedOrders(aReport);
  report_ = aReport;
  if (report_) {
    tracker_.ApplyReport(*report_, aSentAt);
    if (std::exchange(startedMs_, report_->startedMs) != report_->startedMs) {
      store_.EndOpenWrites();
    }
  }
  if (restarted) {
    logger_.Info("the upstream started anew");
    loading_.reset();
    store_.Verify();
  }
  if (loading_ && loading_->orderedAt) {
    auto age = clock_.Now() - *loading_->orderedAt;
    bool done = IsLoadComplete(*loading_);
    bool idle = report_ && report_ && !report_->busy && age > kOrderReportDelay;
    if (done || idle || age > kLoadTimeout) {
      EndLoading(done);
    }
  }
  auto now = GetServing();
  if (now.version != before.version || now.accepting != before.accepting) {
    onServing_();
  }
}

bool
WeightLoader::IsLoadComplete(const Loading& aLoading) const
{
  if (!aLoading.isPartial) {
    return GetLoadedVersion() == aLoading.version;
  }
  return report_ && report_ && !report_->busy &&
         report_->orders > aLoading.expectedOrders;
}

// Without this line the log does not show when an order without an answer was
// accepted, nor orders of other processes.
void
WeightLoader::LogAcceptedOrders(
  const std::optional<platform::UpstreamReport>& aReport) const
{
  if (!report_ || !aReport || report_->orders == aReport->orders) {
    return;
  }
  logger_.Info(
    "the count of accepted orders changed",
    { { "before", std::to_string(report_->orders) },
      { "orders", std::to_string(aReport->orders) },
      { "busy", aReport->busy ? "yes" : "no" },
      { "version", std::to_string(GetExpectedVersion()) },
      { "staged", std::to_string(store_.GetList().version) },
      { "check_age_ms", std::to_string(store_.GetCheckAge().value) } });
}

void
WeightLoader::EndLoading(bool aDone)
{
  auto loading = std::exchange(loading_, std::nullopt);
  if (!loading) {
    return;
  }
  auto now = clock_.Now();
  auto elapsed = now - loading->orderedAt.value_or(now);
  std::vector<telemetry::Field> fields{
    { "version", std::to_string(loading->version) },
    { "took_ms", std::to_string(elapsed.value) }
  };
  if (aDone) {
    logger_.Info("loaded", fields);
  } else {
    logger_.Warn("not loaded", fields);
  }
}

bool
WeightLoader::ShouldFinishSuperseded(const NamedVersion& aNewest) const
{
  auto staged = store_.GetList().version;
  if (staged <= GetExpectedVersion() || staged >= aNewest.version) {
    return false;
  }
  return IsWorthFinishing({ MakeSwitchOptions(staged),
                            pieces_.AreMissingPiecesAnnounced(),
                            pieces_.IsOriginAnswering() });
}

// Whether the upstream may still accept an order for the staged version. Pieces
// of another version must not replace them until that is known; ordering again
// ends it, as the upstream accepts one of the two. With a piece missing an
// order is not possible, and what the upstream accepts has to be loaded again
// anyway.
bool
WeightLoader::IsOrderOpen() const
{
  return tracker_.GetOpenVersion() == store_.GetList().version &&
         store_.GetMissing().empty();
}

NamedVersion
WeightLoader::ChooseTarget(const platform::EngineTraits& aEngine) const
{
  auto newest = config_.FindVersion(aEngine.model)
                  .value_or(NamedVersion{ kFirstVersion, {}, {}, {} });
  const auto& list = store_.GetList();
  bool isListKept = IsOrderOpen() || ShouldFinishSuperseded(newest);
  if (list.model != aEngine.model || !isListKept) {
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
  // Before another version's list replaces the loaded one's, and after.
  RefutePartial(*engine);
  CheckLoad(*engine);
  if (!loading_ && DropRefuted(*engine)) {
    return true;
  }
  auto target = ChooseTarget(*engine);
  auto task = MakeFetchTask(*config, *engine, target);
  if (!BeginStaging(task, *engine, target)) {
    return false;
  }
  CheckLoad(*engine);
  RefuteByStaged(*engine);
  if (!loading_ && DropRefuted(*engine)) {
    return true;
  }
  // Checked only now: other sides may need the staged pieces even if this
  // upstream has loaded them.
  if (GetExpectedVersion() >= target.version) {
    return true;
  }
  if (!pieces_.FetchMissing(task) || !task.isWanted()) {
    return false;
  }
  auto delay = GetSwitchDelay(*engine, target);
  LogStaged(target, delay);
  return AwaitSwitchTime(task, delay) && Switch(*engine, target);
}

// Returns false early if the version is not wanted any more.
bool
WeightLoader::AwaitSwitchTime(const FetchTask& aTask, Millis aDelay) const
{
  auto until = clock_.Now() + aDelay;
  while (aTask.isWanted()) {
    auto left = until - clock_.Now();
    if (left <= Millis(0)) {
      return true;
    }
    net::Runtime::Sleep(std::min(kTargetPollInterval, left));
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
      { "origin_last_ms", text(sources.origin.lastElapsed.value) },
      { "from_other_regions", text(sources.otherRegions.pieces) },
      { "other_regions_last_ms", text(sources.otherRegions.lastElapsed.value) },
      { "from_own_region", text(sources.ownRegion.pieces) },
      { "own_region_last_ms", text(sources.ownRegion.lastElapsed.value) },
      { "switch_in_ms", text(aDelay.value) } });
}

FetchTask
WeightLoader::MakeFetchTask(const platform::FleetConfig& aConfig,
                            const platform::EngineTraits& aEngine,
                            const NamedVersion& aTarget) const
{
  FetchTask task;
  task.origin = aConfig.FindOrigin();
  task.pieces = aEngine.pieces;
  task.maxPieceBytes = LimitSize(aEngine.pieceBytes, kDefaultPieceLimit);
  task.maxListBytes =
    LimitSize(aEngine.pieces * kListBytesPerPiece, kDefaultListLimit);
  task.isNew = aTarget.GetLimitStart().has_value();
  task.isWanted = [this, &aEngine, version = aTarget.version] {
    return ChooseTarget(aEngine).version == version && !MustCheckLoad(aEngine);
  };
  return task;
}

// Gets the version's piece list and checks which pieces are staged already.
bool
WeightLoader::BeginStaging(const FetchTask& aTask,
                           const platform::EngineTraits& aEngine,
                           const NamedVersion& aTarget)
{
  const auto& list = store_.GetList();
  if (list.model == aEngine.model && list.version == aTarget.version) {
    return true;
  }
  utils::Error reason;
  auto begun = clock_.Now();
  auto newList = pieces_.GetList(aTask, aEngine.model, aTarget.version, reason);
  if (!newList) {
    if (reason.IsSet()) {
      logger_.Report(reason, { { "step", "list" } });
    }
    return false;
  }
  store_.SetWantedList(*newList, aTask.maxPieceBytes);
  pieces_.MarkChanged();
  logger_.Info("staging",
               { { "version", std::to_string(aTarget.version) },
                 { "missing", std::to_string(store_.GetMissing().size()) },
                 { "list_ms", std::to_string((clock_.Now() - begun).value) } });
  return true;
}

// Leaves the times at their defaults.
SwitchOptions
WeightLoader::MakeSwitchOptions(std::uint64_t aVersion) const
{
  std::vector<std::string> vms{ settings_.vm };
  std::ranges::transform(
    peers_.List(PeerRole::Side), std::back_inserter(vms), &Peer::vm);
  auto ranked = utils::RankMembers(std::to_string(aVersion), std::move(vms));
  SwitchOptions options;
  options.sides = ranked.size();
  options.rank = static_cast<std::size_t>(
    std::ranges::find(ranked, settings_.vm) - ranked.begin());
  return options;
}

Millis
WeightLoader::GetSwitchDelay(const platform::EngineTraits& aEngine,
                             const NamedVersion& aTarget) const
{
  auto options = MakeSwitchOptions(aTarget.version);
  options.idle = GetLoadedVersion() == 0 || tracker_.IsRefuted() ||
                 IsOrderOpen() || !aTarget.GetLimitStart();
  // If several versions were named in a row, the limit counts from the first
  // one that this upstream does not have.
  auto next = config_.FindNextVersion(aEngine.model, GetExpectedVersion())
                .value_or(aTarget);
  options.limit = settings_.bounds.version;
  auto start = next.GetLimitStart();
  options.age = start ? clock_.Now() - *start : options.limit;
  return ComputeSwitchDelay(options);
}

// Reads the staged pieces back, as they may have been damaged since staging.
bool
WeightLoader::CheckStaged(const NamedVersion& aTarget)
{
  auto begun = clock_.Now();
  store_.Verify();
  auto damaged = store_.GetMissing().size();
  std::vector<telemetry::Field> fields{
    { "version", std::to_string(aTarget.version) },
    { "pieces", std::to_string(store_.GetList().digests.size()) },
    { "damaged", std::to_string(damaged) },
    { "took_ms", std::to_string((clock_.Now() - begun).value) }
  };
  if (damaged > 0) {
    logger_.Warn("staged pieces were damaged", fields);
  } else {
    logger_.Info("staged pieces checked", fields);
  }
  return damaged == 0;
}

// Reads the staged pieces back if that can prove the weights that the upstream
// holds or loads.
void
WeightLoader::CheckLoad(const platform::EngineTraits& aEngine)
{
  const auto& list = store_.GetList();
  auto version = loading_ ? loading_->version : GetHeldVersion(aEngine);
  bool isOfList = list.model == aEngine.model && list.version == version;
  if (!tracker_.NeedsCheck() || version == 0 || !isOfList) {
    return;
  }
  auto check = tracker_.GetAcceptance();
  check.isWhole = CheckStaged({ version, {}, {}, {} });
  check.lastWriteAt = store_.GetLastWriteAt();
  tracker_.RecordCheck(check);
  if (tracker_.IsRefuted()) {
    CountRefuted();
  }
  logger_.Info("accepted load checked",
               { { "version", std::to_string(version) },
                 { "orders", std::to_string(check.orders) },
                 { "proven", tracker_.IsProven() ? "yes" : "no" } });
  onServing_();
}

// A process before this one has had the upstream drop layers that it could not
// prove; those that it left are no better.
void
WeightLoader::RefutePartial(const platform::EngineTraits& aEngine)
{
  if (tracker_.IsInherited() && GetHeldVersion(aEngine) > 0 &&
      GetLoadedVersion() == 0) {
    tracker_.Refute();
  }
}

// Whether a load that is not proven has ended. Before, the upstream may still
// hold the version that the load replaces.
bool
WeightLoader::MustCheckLoad(const platform::EngineTraits& aEngine) const
{
  return tracker_.NeedsCheck() && report_ && !report_->busy &&
         GetHeldVersion(aEngine) > 0;
}

// With another version staged, nothing can prove the load. What a process
// before this one loaded serves until a staged piece is found to be damaged: it
// may have been killed before it could check the load.
void
WeightLoader::RefuteByStaged(const platform::EngineTraits& aEngine)
{
  bool isOfList = store_.GetList().version == GetHeldVersion(aEngine);
  bool isLost = !loading_ && MustCheckLoad(aEngine) && !isOfList;
  bool isSuspect = tracker_.IsInherited() && tracker_.IsProven() && isOfList &&
                   store_.HasDamaged();
  if (!isLost && !isSuspect) {
    return;
  }
  tracker_.Refute();
  CountRefuted();
  logger_.Warn("load refuted",
               { { "version", std::to_string(GetHeldVersion(aEngine)) },
                 { "staged", std::to_string(store_.GetList().version) } });
  onServing_();
}

// Has the upstream drop layers that can't be proven, at once: other processes,
// such as the next one of this side, then see that it has no complete version.
// True if it was ordered.
bool
WeightLoader::DropRefuted(const platform::EngineTraits& aEngine)
{
  auto version = GetHeldVersion(aEngine);
  bool isComplete = GetLoadedVersion() > 0;
  if (!tracker_.IsRefuted() || !isComplete || !report_ || report_->busy ||
      aEngine.layers < 2) {
    return false;
  }
  auto order = MakeOrder(aEngine, version);
  loading_ = Loading{ version, std::nullopt, order.expectedOrders, true };
  return SendOrder(order);
}

// This process may have been suspended since the check, so that a piece that
// was whole then may be damaged.
bool
WeightLoader::IsCheckRecent() const
{
  return store_.GetCheckAge() <= kMaxCheckAge;
}

// The next Step checks the pieces again.
void
WeightLoader::WithdrawOrder(std::uint64_t aVersion, const utils::Error& aReason)
{
  static auto& sWithdrawn =
    telemetry::Metrics::Get().GetCounter("fleet_orders_withdrawn_total");
  sWithdrawn.Add();
  logger_.Warn("load not ordered",
               { { "version", std::to_string(aVersion) },
                 { "check_age_ms", std::to_string(store_.GetCheckAge().value) },
                 { "announced", loading_ ? "yes" : "no" },
                 { "why", aReason.detail } });
  EndLoading(false);
  onServing_();
}

platform::LoadOrder
WeightLoader::MakeOrder(const platform::EngineTraits& aEngine,
                        std::uint64_t aVersion)
{
  auto report = report_.value_or(platform::UpstreamReport());
  platform::LoadOrder order;
  order.model = aEngine.model;
  order.version = aVersion;
  // Decided on this state of the upstream: if another process of this VM, such
  // as one that it replaces, has ordered since, the order is refused.
  order.expectedOrders = report.orders;
  auto layers =
    ChooseLayers(report, aVersion, aEngine.layers, tracker_.IsProven());
  if (layers.end - layers.first < aEngine.layers) {
    order.layers = layers;
  }
  SentOrder sent;
  sent.version = aVersion;
  sent.expectedOrders = order.expectedOrders;
  sent.checkedAt = clock_.Now() - store_.GetCheckAge();
  sent.replacesAll = !HoldsPartOf(report, aVersion, layers);
  sent.mayBeOverwritten = store_.HasOpenWrite();
  // Of a complete version, the upstream keeps what is in the range.
  bool takesPieces = !order.layers || GetLoadedVersion() != aVersion;
  // If the upstream starts anew meanwhile, the announced load ends.
  order.mayStillSend = [this, sent, takesPieces] {
    bool maySend = loading_ && (!takesPieces || IsCheckRecent());
    if (maySend) {
      tracker_.RecordSent(sent);
    }
    return maySend;
  };
  return order;
}

bool
WeightLoader::Switch(const platform::EngineTraits& aEngine,
                     const NamedVersion& aTarget)
{
  if (!CheckStaged(aTarget)) {
    return false;
  }
  auto order = MakeOrder(aEngine, aTarget.version);
  loading_ = Loading{ aTarget.version,
                      std::nullopt,
                      order.expectedOrders,
                      order.layers.has_value() };
  onServing_();
  net::Runtime::Sleep(kAnnounceDelay);
  return SendOrder(order);
}

// True if the upstream accepted the order or may have.
bool
WeightLoader::SendOrder(const platform::LoadOrder& aOrder)
{
  auto version = std::to_string(aOrder.version);
  if (loading_) {
    loading_->orderedAt = clock_.Now();
  }
  logger_.Info(
    "sending the order",
    { { "version", version },
      { "layers", aOrder.layers ? "some" : "all" },
      { "expected_orders", std::to_string(aOrder.expectedOrders) },
      { "check_age_ms", std::to_string(store_.GetCheckAge().value) } });
  utils::Error reason;
  auto result = upstream_.OrderLoad(aOrder, reason);
  if (!result && reason.kind == utils::ErrorKind::ConnectFailed) {
    WithdrawOrder(aOrder.version, reason);
    return false;
  }
  tracker_.RecordAnswer(result, clock_.Now());
  // A report that was read during the call may have ended the load.
  if (!loading_) {
    loading_ = Loading{ aOrder.version,
                        clock_.Now(),
                        aOrder.expectedOrders,
                        aOrder.layers.has_value() };
  }
  if (!result) {
    // The upstream may have accepted the order all the same; the next reports
    // show whether it did.
    logger_.Report(reason, { { "step", "order" } });
    return true;
  }
  bool isAccepted = *result != platform::OrderResult::Conflict;
  logger_.Info("load ordered",
               { { "version", version },
                 { "check_age_ms", std::to_string(store_.GetCheckAge().value) },
                 { "accepted", isAccepted ? "yes" : "no" } });
  if (!isAccepted) {
    EndLoading(false);
    onServing_();
  }
  return isAccepted;
}

} // namespace waxwingyoke::fleet
