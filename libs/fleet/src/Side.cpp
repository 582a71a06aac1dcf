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
#include "ConfigSharing.h"
#include "PeerLink.h"
#include "PieceExchange.h"
#include "PieceStore.h"
#include "WeightLoader.h"

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

constexpr int kOk = 200;
// Entries say when there is something new; each read is charged.
constexpr Millis kConfigInterval(8000);
// Two reads failed.
constexpr Millis kMaxConfigAge(18000);
// A report costs nothing on the own VM but this process's time.
constexpr Millis kReportInterval(100);
// A piece takes 40 ms on a side's link.
constexpr Millis kPieceNoticeInterval(50);
// To other sides, which hear of each piece as it comes.
constexpr Millis kAnnounceRepeat(2000);
// Said again without a change; entries forget a side's word after several.
constexpr Millis kNoticeRepeat(400);
constexpr Millis kPauseAfterFailure(200);
constexpr Millis kLogInterval(500);

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
    , config(aPorts.log, aPorts.codecs, { Millis(0), kConfigInterval })
    , peers(aRuntime, aSettings, aPorts.log, PeerRole::Side)
    , sharing(aPorts.client, config, peers, kMaxConfigAge)
    , store(aUpstream)
    , pieces(aSettings, aPorts.client, peers, store, aOrigin)
    , loader(aSettings, aUpstream, config, peers, store, pieces, [this] {
      SendNotice(PeerRole::Entry);
    })
  {
  }

  void TakeNotice(const Peer& aFrom, const schema::FleetNotice& aNotice);
  void ReportLoop();
  void ReadReport();
  void SendNotice(PeerRole aTo);
  void LoadLoop();
  void LogLoop();

  net::Runtime& runtime;
  const platform::FleetSettings& settings;
  platform::LocalUpstream& upstream;
  ConfigFollower config;
  PeerLink peers;
  ConfigSharing sharing;
  PieceStore store;
  PieceExchange pieces;
  WeightLoader loader;
  net::Router router;
  std::unique_ptr<net::HttpServer> server;
  telemetry::Logger logger{ "side" };
  utils::Clock clock;
  std::optional<platform::UpstreamReport> report;
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
  impl.sharing.Start(impl.runtime);
  impl.runtime.Spawn([&impl] { impl.ReportLoop(); });
  impl.runtime.Spawn([&impl] { impl.LoadLoop(); });
  impl.runtime.Spawn([&impl] { impl.LogLoop(); });
  return true;
}

// A side that has just started learns what the others have.
void
Side::Impl::TakeNotice(const Peer& aFrom, const schema::FleetNotice& aNotice)
{
  if (aNotice.has_entry()) {
    config.NoteEnd(aNotice.entry().operator_end());
  }
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
  auto fresh = upstream.GetReport(reason);
  if (report && !fresh) {
    logger.Report(reason, { { "step", "report" } });
  }
  report = std::move(fresh);
  loader.TakeReport(report);
  if (clock.Now() - noticedAt >= kNoticeRepeat) {
    SendNotice(PeerRole::Entry);
  }
  if (clock.Now() - announcedAt >= kAnnounceRepeat) {
    SendNotice(PeerRole::Side);
  }
}

void
Side::Impl::SendNotice(PeerRole aTo)
{
  schema::FleetNotice notice;
  auto& side = *notice.mutable_side();
  side.set_upstream(settings.localUpstream->ToString());
  if (aTo == PeerRole::Entry) {
    noticedAt = clock.Now();
  } else {
    announcedAt = clock.Now();
    pieces.FillNotice(side);
  }
  auto serving = loader.GetServing();
  side.set_version(serving.version);
  side.set_accepting(serving.accepting);
  side.set_running(report ? report->running : 0);
  side.set_queued(report ? report->queued : 0);
  side.set_pace(report ? report->pace : 1);
  peers.Send(aTo, notice);
}

void
Side::Impl::LoadLoop()
{
  while (true) {
    net::Runtime::Sleep(loader.Step() ? kReportInterval : kPauseAfterFailure);
  }
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
