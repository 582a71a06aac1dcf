#include <fleet/Side.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <net/HttpServer.h>
#include <schema/fleet.pb.h>
#include <telemetry/Metrics.h>
#include <utils/Hash.h>

#include "ConfigFollower.h"
#include "PeerLink.h"
#include "PieceExchange.h"
#include "PieceStore.h"
#include "WeightLoader.h"

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

constexpr int kOk = 200;
// Versions are named seldom; a read returns as soon as one is.
constexpr Millis kConfigWait(8000);
// A report costs nothing on the own VM but this process's time.
constexpr Millis kReportInterval(150);
// A piece takes 40 ms on a side's link.
constexpr Millis kPieceNoticeInterval(50);
// To other sides, which hear of each piece as it comes.
constexpr Millis kAnnounceRepeat(2000);
// Said again without a change; entries forget a side's word after several.
constexpr Millis kNoticeRepeat(400);
constexpr Millis kPauseAfterFailure(200);
constexpr Millis kLogInterval(500);
// A load takes well under a second once work has ended.
constexpr Millis kLoadPoll(40);
constexpr Millis kLoadTimeout(12000);
// Before the order, for entries to hear that no new work is taken.
constexpr Millis kAnnounceTime(40);
// Before any version is named the fleet serves the first one.
constexpr std::uint64_t kFirstVersion = 1;

} // namespace

struct Side::Impl
{
  Impl(net::Runtime& aRuntime,
       const platform::FleetSettings& aSettings,
       FleetPorts aPorts,
       platform::LocalUpstream& aUpstream,
       platform::WeightOrigin& aOrigin)
    : runtime(aRuntime)
    , settings(aSettings)
    , upstream(aUpstream)
    , config(aPorts.log, aPorts.codecs, kConfigWait)
    , peers(aRuntime, aSettings, aPorts.log, PeerRole::Side)
    , store(aUpstream)
    , pieces(aRuntime, aSettings, aPorts.client, peers, store, aOrigin)
  {
  }

  const platform::EngineTraits* FindEngine();
  NamedVersion GetTarget(const std::string& aModel);
  std::uint64_t GetHeld(const platform::EngineTraits& aEngine) const;

  void TakeNotice(const Peer& aFrom, const schema::FleetNotice& aNotice);
  void ReportLoop();
  void ReadReport();
  void SendNotice(PeerRole aTo);
  void LoadLoop();
  bool EnsureLoaded();
  FetchOrder MakeOrder(const platform::EngineTraits& aEngine,
                       const NamedVersion& aTarget);
  bool BeginStaging(const platform::EngineTraits& aEngine,
                    const NamedVersion& aTarget);
  bool FetchStaged(const platform::EngineTraits& aEngine,
                   const NamedVersion& aTarget);
  bool IsCurrent(const std::string& aModel, std::uint64_t aVersion);
  Millis GetSwitchDelay(const std::string& aModel,
                        std::uint64_t aHeld,
                        const NamedVersion& aTarget) const;
  bool Switch(const platform::EngineTraits& aEngine,
              const NamedVersion& aTarget);
  bool AwaitLoaded(const platform::EngineTraits& aEngine,
                   std::uint64_t aVersion);
  void LogLoop();

  net::Runtime& runtime;
  const platform::FleetSettings& settings;
  platform::LocalUpstream& upstream;
  ConfigFollower config;
  std::shared_ptr<const platform::FleetConfig> current;
  PeerLink peers;
  PieceStore store;
  PieceExchange pieces;
  net::Router router;
  std::unique_ptr<net::HttpServer> server;
  telemetry::Logger logger{ "side" };
  utils::Clock clock = utils::Clock::CountingSuspension();
  std::optional<platform::UpstreamReport> report;
  /** Entries are told to send nothing new. */
  bool closed = false;
  std::uint64_t noticedVersion = 0;
  bool noticedAccepting = false;
  Millis noticedAt;
  Millis announcedAt;
  /** Start of each side's process, as it says. */
  std::map<std::string, std::uint64_t> startOf;
  bool noticeDue = false;
};

Side::Side(net::Runtime& aRuntime,
           const platform::FleetSettings& aSettings,
           FleetPorts aPorts,
           platform::LocalUpstream& aUpstream,
           platform::WeightOrigin& aOrigin)
  : impl_(std::make_unique<Impl>(aRuntime,
                                 aSettings,
                                 std::move(aPorts),
                                 aUpstream,
                                 aOrigin))
{
}

Side::~Side() = default;

bool
Side::Start(utils::Error& aReason)
{
  auto& impl = *impl_;
  if (!impl.settings.localUpstream) {
    aReason.Set(utils::ErrorKind::BadSettings,
                "a side's settings need the address of its upstream");
    return false;
  }
  impl.router.Add("GET", "/metrics", [](const auto&, auto& aWriter) {
    net::HttpResponse response;
    response.status = kOk;
    response.body = telemetry::Metrics::Get().Show();
    aWriter.Send(response);
  });
  impl.pieces.AddRoutes(impl.router);
  impl.server = net::HttpServer::Builder(impl.runtime)
                  .SetEndpoint(impl.peers.GetOwnEndpoint())
                  .SetHandler([&impl](const auto& aRequest, auto& aWriter) {
                    impl.router.Handle(aRequest, aWriter);
                  })
                  .Build(aReason);
  auto handler = [&impl](const Peer& aFrom,
                         const schema::FleetNotice& aNotice) {
    impl.TakeNotice(aFrom, aNotice);
  };
  if (!impl.server || !impl.peers.Start(handler, aReason)) {
    return false;
  }
  impl.config.Start(impl.runtime, {});
  impl.runtime.Spawn([&impl] { impl.ReportLoop(); });
  impl.runtime.Spawn([&impl] { impl.LoadLoop(); });
  impl.runtime.Spawn([&impl] { impl.LogLoop(); });
  return true;
}

// Null while nothing is known of the service, or if it runs no engine.
const platform::EngineTraits*
Side::Impl::FindEngine()
{
  current = config.GetConfig();
  const auto* service =
    current ? current->FindService(settings.localService) : nullptr;
  return service != nullptr && service->engine ? &*service->engine : nullptr;
}

NamedVersion
Side::Impl::GetTarget(const std::string& aModel)
{
  return config.FindVersion(aModel).value_or(
    NamedVersion{ kFirstVersion, {}, false });
}

std::uint64_t
Side::Impl::GetHeld(const platform::EngineTraits& aEngine) const
{
  return report ? platform::FindCompleteVersion(
                    report->held, aEngine.model, aEngine.layers)
                : 0;
}

// A side that has just started learns what the others have.
void
Side::Impl::TakeNotice(const Peer& aFrom, const schema::FleetNotice& aNotice)
{
  if (!aNotice.has_side()) {
    return;
  }
  auto& known = startOf[aFrom.vm];
  bool isNew = std::exchange(known, aNotice.started_ms()) != known;
  pieces.TakeNotice(aFrom, aNotice.side());
  if (isNew) {
    noticeDue = true;
  }
}

void
Side::Impl::ReportLoop()
{
  while (true) {
    ReadReport();
    auto until = clock.Now() + kReportInterval;
    while (clock.Now() < until) {
      net::Runtime::Sleep(kPieceNoticeInterval);
      if (pieces.TakeChange() || std::exchange(noticeDue, false)) {
        SendNotice(PeerRole::Side);
      }
    }
  }
}

void
Side::Impl::ReadReport()
{
  utils::Error reason;
  auto before = report.has_value();
  auto startedBefore = report ? report->startedMs : 0;
  report = upstream.GetReport(reason);
  if (before && !report) {
    logger.Report(reason, { { "step", "report" } });
  }
  if (report && startedBefore != 0 && report->startedMs != startedBefore) {
    logger.Info("the upstream started anew");
  }
  const auto* engine = FindEngine();
  if (engine == nullptr) {
    return;
  }
  auto version = GetHeld(*engine);
  bool accepting = version > 0 && !closed;
  bool changed = version != noticedVersion || accepting != noticedAccepting;
  if (changed || clock.Now() - noticedAt >= kNoticeRepeat) {
    SendNotice(PeerRole::Entry);
  }
  if (clock.Now() - announcedAt >= kAnnounceRepeat) {
    SendNotice(PeerRole::Side);
  }
}

void
Side::Impl::SendNotice(PeerRole aTo)
{
  const auto* engine = FindEngine();
  schema::FleetNotice notice;
  auto& side = *notice.mutable_side();
  side.set_upstream(settings.localUpstream->ToString());
  auto version = engine != nullptr ? GetHeld(*engine) : 0;
  bool accepting = version > 0 && !closed;
  if (aTo == PeerRole::Entry) {
    noticedAt = clock.Now();
    noticedVersion = version;
    noticedAccepting = accepting;
  } else {
    announcedAt = clock.Now();
    pieces.FillNotice(side);
  }
  side.set_version(version);
  side.set_accepting(accepting);
  side.set_running(report ? report->running : 0);
  side.set_queued(report ? report->queued : 0);
  side.set_pace(report ? report->pace : 1);
  peers.Send(aTo, notice);
}

void
Side::Impl::LoadLoop()
{
  while (true) {
    net::Runtime::Sleep(EnsureLoaded() ? kReportInterval : kPauseAfterFailure);
  }
}

// True if the upstream is on the version that it should be on.
bool
Side::Impl::EnsureLoaded()
{
  const auto* engine = FindEngine();
  if (engine == nullptr || !report) {
    return false;
  }
  auto keep = current;
  auto target = GetTarget(engine->model);
  if (GetHeld(*engine) >= target.version) {
    closed = false;
    // What lies staged here others may want.
    return BeginStaging(*engine, target);
  }
  if (!BeginStaging(*engine, target) || !FetchStaged(*engine, target)) {
    return false;
  }
  auto delay = GetSwitchDelay(engine->model, GetHeld(*engine), target);
  logger.Info("staged",
              { { "version", std::to_string(target.version) },
                { "switch_in_ms", std::to_string(delay.value) } });
  net::Runtime::Sleep(delay);
  return IsCurrent(engine->model, target.version) && Switch(*engine, target);
}

bool
Side::Impl::IsCurrent(const std::string& aModel, std::uint64_t aVersion)
{
  return GetTarget(aModel).version == aVersion;
}

FetchOrder
Side::Impl::MakeOrder(const platform::EngineTraits& aEngine,
                      const NamedVersion& aTarget)
{
  FetchOrder order;
  order.origin = current->FindOrigin();
  order.isNew = aTarget.learntLive;
  order.isWanted = [this, model = aEngine.model, version = aTarget.version] {
    return IsCurrent(model, version);
  };
  return order;
}

// Learns what the version consists of and what of it lies here.
bool
Side::Impl::BeginStaging(const platform::EngineTraits& aEngine,
                         const NamedVersion& aTarget)
{
  const auto& list = store.GetList();
  if (list.model == aEngine.model && list.version == aTarget.version) {
    return true;
  }
  utils::Error reason;
  auto begun = clock.Now();
  auto keep = current;
  auto fresh = pieces.GetList(
    MakeOrder(aEngine, aTarget), aEngine.model, aTarget.version, reason);
  if (!fresh) {
    logger.Report(reason, { { "step", "list" } });
    return false;
  }
  store.Begin(*fresh);
  noticeDue = true;
  logger.Info("staging",
              { { "version", std::to_string(aTarget.version) },
                { "missing", std::to_string(store.GetMissing().size()) },
                { "list_ms", std::to_string((clock.Now() - begun).value) } });
  return true;
}

bool
Side::Impl::FetchStaged(const platform::EngineTraits& aEngine,
                        const NamedVersion& aTarget)
{
  auto keep = current;
  auto order = MakeOrder(aEngine, aTarget);
  return pieces.FetchMissing(order) && order.isWanted();
}

Millis
Side::Impl::GetSwitchDelay(const std::string& aModel,
                           std::uint64_t aHeld,
                           const NamedVersion& aTarget) const
{
  SwitchTerms terms;
  std::vector<std::string> vms{ settings.vm };
  std::ranges::transform(
    peers.List(PeerRole::Side), std::back_inserter(vms), &Peer::vm);
  auto ranked =
    utils::RankMembers(std::to_string(aTarget.version), std::move(vms));
  terms.sides = ranked.size();
  terms.rank = static_cast<std::size_t>(std::ranges::find(ranked, settings.vm) -
                                        ranked.begin());
  terms.idle = !report || report->held.empty() || !aTarget.learntLive;
  // With two versions named in a row the first one's limit binds.
  auto next = config.FindNextVersion(aModel, aHeld).value_or(aTarget);
  terms.age = clock.Now() - next.learntAt;
  terms.limit = settings.bounds.version;
  return PlanSwitch(terms);
}

// What lies staged may have been damaged since it was checked.
bool
Side::Impl::Switch(const platform::EngineTraits& aEngine,
                   const NamedVersion& aTarget)
{
  store.Verify();
  if (!store.GetMissing().empty()) {
    logger.Warn("staged pieces were damaged",
                { { "pieces", std::to_string(store.GetMissing().size()) } });
    return false;
  }
  closed = true;
  SendNotice(PeerRole::Entry);
  net::Runtime::Sleep(kAnnounceTime);
  utils::Error reason;
  auto result = upstream.OrderLoad(aEngine.model, aTarget.version, reason);
  if (!result) {
    logger.Report(reason, { { "step", "order" } });
  } else {
    logger.Info(
      "load ordered",
      { { "version", std::to_string(aTarget.version) },
        { "conflict",
          *result == platform::OrderResult::Conflict ? "yes" : "no" } });
  }
  // An order without an answer may have been accepted: the state tells.
  bool loaded = AwaitLoaded(aEngine, aTarget.version);
  closed = false;
  SendNotice(PeerRole::Entry);
  return loaded;
}

bool
Side::Impl::AwaitLoaded(const platform::EngineTraits& aEngine,
                        std::uint64_t aVersion)
{
  auto begun = clock.Now();
  auto until = begun + kLoadTimeout;
  while (clock.Now() < until) {
    net::Runtime::Sleep(kLoadPoll);
    ReadReport();
    if (GetHeld(aEngine) == aVersion) {
      logger.Info(
        "loaded",
        { { "version", std::to_string(aVersion) },
          { "took_ms", std::to_string((clock.Now() - begun).value) } });
      return true;
    }
    if (report && !report->busy) {
      break;
    }
  }
  logger.Warn("not loaded", { { "version", std::to_string(aVersion) } });
  return false;
}

void
Side::Impl::LogLoop()
{
  while (true) {
    net::Runtime::Sleep(kLogInterval);
    telemetry::WriteBufferedLogs();
  }
}

} // namespace waxwingyoke::fleet
