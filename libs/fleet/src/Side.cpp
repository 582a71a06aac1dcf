#include <fleet/Side.h>

#include <algorithm>
#include <cmath>
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
// Entries say when there is something new, and are asked for it: sides are
// many, and each read of the log is charged. It is read where they fail to
// answer for some time.
constexpr Millis kConfigInterval(15000);
constexpr Millis kMaxConfigAge(6000);
constexpr Millis kAskInterval(200);
constexpr Millis kTextDelay(3000);
// While the log fails.
constexpr Millis kLongestPause(2000);
// A report costs nothing on the own VM but this process's time: often while
// the upstream is to change, else to see that it has started anew.
constexpr Millis kReportInterval(100);
constexpr Millis kCalmReportInterval(300);
// Of what lies staged, to sides of the own region: a piece or two come in this
// time, and each side hears it from each.
constexpr Millis kNearAnnounceInterval(60);
// To sides of other regions, one of which brings each piece over: at once what
// the origin gave, then seldom, as bytes between regions are dear.
constexpr Millis kFarAnnounceInterval(1000);
// Said again without a change: a notice may be lost.
constexpr Millis kNearAnnounceRepeat(2000);
constexpr Millis kFarAnnounceRepeat(5000);
// Said again without a change; entries forget a side's word after several.
constexpr Millis kNoticeRepeat(800);
// Of the pace: as much as moves a request elsewhere.
constexpr double kPaceChange = 0.25;
// Between two looks whether there is something to load.
constexpr Millis kLoadInterval(100);
// Also while another side gets what this one needs from the origin.
constexpr Millis kPauseAfterFailure(100);
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
    , config(aPorts.log,
             aPorts.codecs,
             { Millis(0), kConfigInterval, true, kLongestPause })
    , peers(aRuntime, aSettings, aPorts.log, PeerRole::Side)
    , sharing(aPorts.client,
              config,
              peers,
              { kMaxConfigAge, kAskInterval, kTextDelay })
    , store(aUpstream)
    , pieces(aSettings, aPorts.client, peers, store, aOrigin)
    , loader(aSettings, aUpstream, config, peers, store, pieces, [this] {
      TellEntries();
    })
  {
  }

  void HandleNotice(const Peer& aFrom, const schema::FleetNotice& aNotice);
  void ReportLoop();
  void ReadReport();
  schema::FleetNotice MakeNotice() const;
  void TellEntries();
  void AnnounceLoop();
  void Announce(Reach aReach);
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
  double toldPace = 1;
  /** What other sides of one reach are to hear, and when they last did. */
  struct Audience
  {
    bool isDue = false;
    Millis toldAt;
  };
  Audience near;
  Audience far;
  /** Start of each side's process, as it says. */
  std::map<std::string, std::uint64_t> startOf;
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
    impl.HandleNotice(aFrom, aNotice);
  };
  if (!impl.server || !impl.peers.Start(handler, aReason)) {
    return false;
  }
  impl.config.Start(impl.runtime, {});
  impl.sharing.Start(impl.runtime);
  impl.runtime.Spawn([&impl] { impl.ReportLoop(); });
  impl.runtime.Spawn([&impl] { impl.AnnounceLoop(); });
  impl.runtime.Spawn([&impl] { impl.LoadLoop(); });
  impl.runtime.Spawn([&impl] { impl.LogLoop(); });
  return true;
}

// A side that has just started learns what the others have.
void
Side::Impl::HandleNotice(const Peer& aFrom, const schema::FleetNotice& aNotice)
{
  if (aNotice.has_entry()) {
    config.NoteEnd(aNotice.entry().operator_end());
  }
  if (!aNotice.has_side()) {
    return;
  }
  auto& known = startOf[aFrom.vm];
  bool isNew = std::exchange(known, aNotice.started_ms()) != known;
  pieces.HandleNotice(aFrom, aNotice.side());
  if (isNew) {
    near.isDue = true;
    far.isDue = true;
  }
}

void
Side::Impl::ReportLoop()
{
  while (true) {
    ReadReport();
    net::Runtime::Sleep(loader.IsUpToDate() ? kCalmReportInterval
                                            : kReportInterval);
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
  loader.ApplyReport(report);
  double pace = report ? report->pace : 1;
  bool paceChanged = std::abs(pace - toldPace) > kPaceChange;
  if (paceChanged || clock.Now() - noticedAt >= kNoticeRepeat) {
    TellEntries();
  }
}

schema::FleetNotice
Side::Impl::MakeNotice() const
{
  schema::FleetNotice notice;
  auto& side = *notice.mutable_side();
  side.set_upstream(settings.localUpstream->ToString());
  auto serving = loader.GetServing();
  side.set_version(serving.version);
  side.set_accepting(serving.accepting);
  side.set_running(report ? report->running : 0);
  side.set_queued(report ? report->queued : 0);
  side.set_pace(report ? report->pace : 1);
  return notice;
}

void
Side::Impl::TellEntries()
{
  noticedAt = clock.Now();
  auto notice = MakeNotice();
  toldPace = notice.side().pace();
  peers.Send(PeerRole::Entry, notice);
}

void
Side::Impl::AnnounceLoop()
{
  while (true) {
    net::Runtime::Sleep(kNearAnnounceInterval);
    auto change = pieces.TakeChange();
    near.isDue = near.isDue || change.isChanged;
    far.isDue = far.isDue || change.isChanged;
    auto now = clock.Now();
    if (near.isDue || now - near.toldAt >= kNearAnnounceRepeat) {
      near = { false, now };
      Announce(Reach::Near);
    }
    auto interval = far.isDue ? kFarAnnounceInterval : kFarAnnounceRepeat;
    if (change.isFromOrigin || now - far.toldAt >= interval) {
      far = { false, now };
      Announce(Reach::Far);
    }
  }
}

void
Side::Impl::Announce(Reach aReach)
{
  auto notice = MakeNotice();
  pieces.FillNotice(*notice.mutable_side());
  peers.Send(PeerRole::Side, notice, aReach);
}

void
Side::Impl::LoadLoop()
{
  while (true) {
    net::Runtime::Sleep(loader.Step() ? kLoadInterval : kPauseAfterFailure);
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
