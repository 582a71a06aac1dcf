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
#include "ServerLimits.h"
#include "StallMonitor.h"
#include "WeightLoader.h"

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

constexpr int kOk = 200;
// Entries announce updates of the configuration, and sides request them from
// entries: there are many sides, and each read of the log is charged. Sides
// read the log only if the entries do not answer for some time.
constexpr Millis kConfigInterval(15000);
constexpr Millis kMaxConfigAge(6000);
constexpr Millis kRequestInterval(200);
constexpr Millis kTextDelay(3000);
// Between reads while the log fails.
constexpr Millis kLongestPause(2000);
// A report on the own VM costs only CPU time of this process. It is read often
// while the upstream is to be updated, else only to detect a restart.
constexpr Millis kReportInterval(100);
constexpr Millis kUpToDateReportInterval(300);
// Between announcements of staged pieces to sides of the same region. One or
// two pieces arrive in this time, and every side sends to every other.
constexpr Millis kLocalAnnounceInterval(60);
// The same to sides of other regions, of which one fetches each piece. Pieces
// from the origin are announced at once, others at most once per interval, as
// traffic between regions is expensive.
constexpr Millis kRemoteAnnounceInterval(1000);
// Announcements are repeated without a change, as a notice may be lost.
constexpr Millis kLocalAnnounceRepeat(2000);
constexpr Millis kRemoteAnnounceRepeat(5000);
// Notices to entries are repeated without a change; entries drop a side's state
// when several are missing.
constexpr Millis kNoticeRepeat(800);
// Change of the pace that makes entries send a request to another upstream.
constexpr double kMinPaceChange = 0.25;
// Between two checks whether there is something to load.
constexpr Millis kLoadInterval(100);
// Also applies while another side fetches from the origin what this one needs.
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
             { Millis(0),
               kConfigInterval,
               true,
               Millis(0),
               kLongestPause,
               Millis(0) })
    , peers(aRuntime, aSettings, aPorts.log, PeerRole::Side)
    , sharing(aPorts.client,
              config,
              peers,
              { kMaxConfigAge, kRequestInterval, kTextDelay })
    , store(aUpstream)
    , pieces(aSettings, aPorts.client, peers, store, aOrigin)
    , loader(aSettings, aUpstream, config, peers, store, pieces, [this] {
      NotifyEntries();
    })
  {
  }

  void HandleNotice(const Peer& aFrom, const schema::FleetNotice& aNotice);
  void ReportLoop();
  void ReadReport();
  schema::FleetNotice MakeNotice() const;
  void NotifyEntries();
  void AnnounceLoop();
  void Announce(PeerScope aScope);
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
  Millis entriesNotifiedAt;
  double sentPace = 1;
  /** Announcements of staged pieces to the other sides of one scope. */
  struct AnnouncementSchedule
  {
    bool isDue = false;
    Millis sentAt;
  };
  AnnouncementSchedule localAnnouncements;
  AnnouncementSchedule remoteAnnouncements;
  /** Start of each side's process by VM, from its notices. */
  std::map<std::string, std::uint64_t> processStarts;
  StallMonitor stalls{ kLogInterval };
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
    aReason.Set(
      utils::ErrorKind::BadSettings,
      "the settings of a side must contain the address of its upstream");
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
                  .SetMemory(MakeRequestMemory(impl.settings))
                  .SetMaxBodyBytes(kMaxControlBodyBytes)
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

// On the first notice of a new side process, an announcement of all staged
// pieces becomes due.
void
Side::Impl::HandleNotice(const Peer& aFrom, const schema::FleetNotice& aNotice)
{
  if (aNotice.has_entry()) {
    config.ApplyPeerPosition(ReadPosition(aNotice.entry()));
  }
  if (!aNotice.has_side()) {
    return;
  }
  auto& knownStart = processStarts[aFrom.vm];
  bool isNew = std::exchange(knownStart, aNotice.started_ms()) != knownStart;
  pieces.HandleNotice(aFrom, aNotice.side());
  if (isNew) {
    localAnnouncements.isDue = true;
    remoteAnnouncements.isDue = true;
  }
}

void
Side::Impl::ReportLoop()
{
  while (true) {
    ReadReport();
    net::Runtime::Sleep(loader.IsUpToDate() ? kUpToDateReportInterval
                                            : kReportInterval);
  }
}

void
Side::Impl::ReadReport()
{
  utils::Error reason;
  auto fresh = loader.ReadReport(reason);
  if (report && !fresh) {
    logger.Report(reason, { { "step", "report" } });
  }
  report = std::move(fresh);
  double pace = report ? report->pace : 1;
  bool paceChanged = std::abs(pace - sentPace) > kMinPaceChange;
  if (paceChanged || clock.Now() - entriesNotifiedAt >= kNoticeRepeat) {
    NotifyEntries();
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
Side::Impl::NotifyEntries()
{
  entriesNotifiedAt = clock.Now();
  auto notice = MakeNotice();
  sentPace = notice.side().pace();
  peers.Send(PeerRole::Entry, notice);
}

void
Side::Impl::AnnounceLoop()
{
  while (true) {
    net::Runtime::Sleep(kLocalAnnounceInterval);
    auto change = pieces.TakeChange();
    localAnnouncements.isDue = localAnnouncements.isDue || change.isChanged;
    remoteAnnouncements.isDue = remoteAnnouncements.isDue || change.isChanged;
    auto now = clock.Now();
    if (localAnnouncements.isDue ||
        now - localAnnouncements.sentAt >= kLocalAnnounceRepeat) {
      localAnnouncements = { false, now };
      Announce(PeerScope::LocalRegion);
    }
    auto interval = remoteAnnouncements.isDue ? kRemoteAnnounceInterval
                                              : kRemoteAnnounceRepeat;
    if (change.isFromOrigin || now - remoteAnnouncements.sentAt >= interval) {
      remoteAnnouncements = { false, now };
      Announce(PeerScope::RemoteRegion);
    }
  }
}

void
Side::Impl::Announce(PeerScope aScope)
{
  auto notice = MakeNotice();
  pieces.FillNotice(*notice.mutable_side());
  peers.Send(PeerRole::Side, notice, aScope);
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
    stalls.Check();
    telemetry::WriteBufferedLogs();
  }
}

} // namespace waxwingyoke::fleet
