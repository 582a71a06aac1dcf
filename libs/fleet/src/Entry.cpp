#include <fleet/Entry.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <unordered_map>

#include <net/HttpServer.h>
#include <net/Router.h>
#include <schema/fleet.pb.h>
#include <utils/Hash.h>

#include "ConfigSharing.h"
#include "DirectoryFollower.h"
#include "EntryServices.h"
#include "Exchange.h"
#include "PeerLink.h"

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// Between two notices of what this entry runs where, to entries of its region,
// which send to the same upstreams: each of them makes a request in this time.
constexpr Millis kNoticeInterval(25);
// To entries of other regions, which send here only what their own region has
// no room for; bytes between regions are dear.
constexpr Millis kFarNoticeInterval(180);
// All uses are said again, so that a lost notice does not last.
constexpr Millis kCompleteInterval(500);
// Sides that missed it, or started since, hear of the operator's topic again.
constexpr Millis kEndRepeat(1000);
// An entry that is silent for this long has no requests that count.
constexpr Millis kEntrySilence(1500);
constexpr Millis kCrashRepeat(2000);
// The balancer asks each second and takes an entry out after two misses.
constexpr Millis kUnreadyNotice(2200);
// Of the grace period, for what runs to end.
constexpr double kGraceShare = 0.9;
constexpr Millis kDrainPoll(20);
constexpr Millis kLogInterval(250);
// Other entries are asked for the configuration when it is older than this
// share of what a key may be trusted for.
constexpr double kAskPeersShare = 0.4;
// A read of the log that succeeds comes before the first question.
constexpr Millis kAskPeersInterval(150);

/** Entries of one reach: what they were told of this one's requests. */
struct Audience
{
  Reach reach;
  Millis interval;
  bool isDue = false;
  Millis toldAt;
  Millis completeAt;
  std::unordered_map<std::uint64_t, dispatch::UseCount> told;
};

/** Another entry that was heard lately. */
struct HeardEntry
{
  Millis at;
  std::string region;
};

Millis
Scale(Millis aTime, double aShare)
{
  return Millis(
    static_cast<std::int64_t>(static_cast<double>(aTime.value) * aShare));
}

net::HttpResponse
MakeText(int aStatus, std::string aText)
{
  net::HttpResponse response;
  response.status = aStatus;
  response.fields.Set("Content-Type", "text/plain");
  response.body = std::move(aText);
  return response;
}

} // namespace

struct Entry::Impl
{
  Impl(net::Runtime& aRuntime,
       const platform::FleetSettings& aSettings,
       FleetPorts aPorts)
    : runtime(aRuntime)
    , settings(aSettings)
    , ports(aPorts)
    , services(aRuntime, aSettings, aPorts)
    , directory(aPorts.log, aPorts.codecs, services.GetUpstreams())
    , peers(aRuntime, aSettings, aPorts.log, PeerRole::Entry)
    , sharing(aPorts.client,
              services.GetConfig(),
              peers,
              { Scale(aSettings.bounds.revoke, kAskPeersShare),
                kAskPeersInterval,
                Millis(0) })
  {
  }

  bool StartServers(utils::Error& aReason);
  void AddPeerRoutes();
  bool IsReady() const;
  net::HttpLimits GetLimits();
  void NoticeLoop();
  void SendNotice(Audience& aAudience);
  void AddUses(Audience& aAudience, schema::EntryNotice& aEntry);
  void AddNews(const Audience& aAudience, schema::EntryNotice& aEntry);
  void SendDirectoryNews(const schema::DirectoryNews& aNews);
  void TellSides(std::uint64_t aEnd);
  void ForgetSilentEntries();
  void SetTurns();
  void TakeNotice(const Peer& aFrom, const schema::FleetNotice& aNotice);
  void TakeEntry(const Peer& aFrom, const schema::EntryNotice& aNotice);
  void TakeSide(const schema::SideNotice& aNotice);
  void LogLoop();

  net::Runtime& runtime;
  const platform::FleetSettings& settings;
  FleetPorts ports;
  EntryServices services;
  DirectoryFollower directory;
  PeerLink peers;
  ConfigSharing sharing;
  net::Router peerRouter;
  std::unique_ptr<net::HttpServer> callerServer;
  std::unique_ptr<net::HttpServer> readinessServer;
  std::unique_ptr<net::HttpServer> peerServer;
  telemetry::Logger logger{ "entry" };
  std::array<Audience, 2> audiences{ {
    { Reach::Near, kNoticeInterval, false, {}, {}, {} },
    { Reach::Far, kFarNoticeInterval, false, {}, {}, {} },
  } };
  std::map<std::string, HeardEntry> entriesHeard;
  /** How far the sides know that this entry has read. */
  std::uint64_t toldEnd = 0;
  Millis toldSidesAt;
  bool draining = false;
  bool wasReady = false;
};

Entry::Entry(net::Runtime& aRuntime,
             const platform::FleetSettings& aSettings,
             FleetPorts aPorts)
  : impl_(std::make_unique<Impl>(aRuntime, aSettings, std::move(aPorts)))
{
}

Entry::~Entry() = default;

bool
Entry::Start(utils::Error& aReason)
{
  auto& impl = *impl_;
  auto handler = [&impl](const Peer& aFrom,
                         const schema::FleetNotice& aNotice) {
    impl.TakeNotice(aFrom, aNotice);
  };
  if (!impl.peers.Start(handler, aReason) || !impl.StartServers(aReason)) {
    return false;
  }
  auto serve = [&impl] { impl.services.ServeWaitQueues(); };
  impl.services.GetConfig().Start(impl.runtime, serve);
  impl.directory.OnUpdate(
    [&impl](const auto& aNews) { impl.SendDirectoryNews(aNews); });
  impl.directory.Start(impl.runtime, serve);
  impl.runtime.Spawn([&impl] { impl.NoticeLoop(); });
  impl.sharing.Start(impl.runtime);
  impl.runtime.Spawn([&impl] { impl.LogLoop(); });
  return true;
}

// Out of the balancer's list first, still taking what it sends meanwhile.
void
Entry::Drain()
{
  auto& impl = *impl_;
  impl.draining = true;
  utils::Clock clock;
  auto end = clock.Now() + Scale(impl.settings.bounds.grace, kGraceShare);
  net::Runtime::Sleep(kUnreadyNotice);
  impl.callerServer->Close();
  while (impl.callerServer->GetActiveCount() > 0 && clock.Now() < end) {
    net::Runtime::Sleep(kDrainPoll);
  }
}

bool
Entry::Impl::StartServers(utils::Error& aReason)
{
  if (!settings.callers || !settings.readiness) {
    aReason.Set(utils::ErrorKind::BadSettings,
                "an entry's settings need addresses for callers and readiness");
    return false;
  }
  callerServer = net::HttpServer::Builder(runtime)
                   .SetEndpoint(*settings.callers)
                   .SetCurrentLimits([this] { return GetLimits(); })
                   .SetLeaving([this] { return draining; })
                   .SetHandler([this](const auto& aRequest, auto& aWriter) {
                     Exchange(services, aRequest, aWriter).Run();
                   })
                   .Build(aReason);
  readinessServer =
    callerServer
      ? net::HttpServer::Builder(runtime)
          .SetEndpoint(*settings.readiness)
          // The balancer asks nothing else at this address.
          .SetHandler([this](const auto&, auto& aWriter) {
            bool ready = IsReady();
            aWriter.Send(MakeText(ready ? kOk : kUnavailable,
                                  ready ? "ready\n" : "not ready\n"));
          })
          .Build(aReason)
      : nullptr;
  AddPeerRoutes();
  peerServer = readinessServer
                 ? net::HttpServer::Builder(runtime)
                     .SetEndpoint(peers.GetOwnEndpoint())
                     .SetHandler([this](const auto& aRequest, auto& aWriter) {
                       peerRouter.Handle(aRequest, aWriter);
                     })
                     .Build(aReason)
                 : nullptr;
  return peerServer != nullptr;
}

void
Entry::Impl::AddPeerRoutes()
{
  peerRouter.Add("GET", "/metrics", [](const auto&, auto& aWriter) {
    aWriter.Send(MakeText(kOk, telemetry::Metrics::Get().Show()));
  });
  sharing.AddRoute(peerRouter);
}

// One that knows no configuration, or can't tell whose keys still hold, has
// nothing but refusals to offer.
bool
Entry::Impl::IsReady() const
{
  return !draining && services.GetTrust() != dispatch::Trust::KeylessOnly;
}

net::HttpLimits
Entry::Impl::GetLimits()
{
  net::HttpLimits limits;
  auto config = services.GetConfig().GetConfig();
  auto current = config ? config->limits : platform::CallerLimits();
  limits.bodyBytes = current.bodyBytes;
  limits.headerBytes = static_cast<std::uint32_t>(current.headerBytes);
  limits.idle = current.idleTimeout;
  limits.header = current.headerTimeout;
  return limits;
}

void
Entry::Impl::NoticeLoop()
{
  while (true) {
    net::Runtime::Sleep(kNoticeInterval);
    bool changed = services.TakeUseChange();
    for (auto& audience : audiences) {
      audience.isDue = audience.isDue || changed;
      auto interval = audience.isDue ? audience.interval : kCompleteInterval;
      if (services.Now() - audience.toldAt >= interval) {
        SendNotice(audience);
      }
    }
    ForgetSilentEntries();
    auto end = services.GetConfig().GetEnd();
    if (end != toldEnd || services.Now() - toldSidesAt >= kEndRepeat) {
      services.MarkUseChanged();
      TellSides(end);
    }
  }
}

void
Entry::Impl::SendNotice(Audience& aAudience)
{
  schema::FleetNotice notice;
  auto& entry = *notice.mutable_entry();
  AddUses(aAudience, entry);
  AddNews(aAudience, entry);
  aAudience.isDue = false;
  aAudience.toldAt = services.Now();
  peers.Send(PeerRole::Entry, notice, aAudience.reach);
}

// Mostly what changed since the last notice: a request starts or ends at a few
// of many upstreams in that time.
void
Entry::Impl::AddUses(Audience& aAudience, schema::EntryNotice& aEntry)
{
  bool complete = services.Now() - aAudience.completeAt >= kCompleteInterval;
  if (complete) {
    aAudience.completeAt = services.Now();
    aAudience.told.clear();
  }
  aEntry.set_changes_only(!complete);
  for (const auto& [id, state] : services.GetUpstreams().GetAll()) {
    auto& told = aAudience.told[state->hash];
    if (told == state->own) {
      continue;
    }
    told = state->own;
    auto& use = *aEntry.add_uses();
    use.set_upstream(state->hash);
    use.set_running(state->own.running);
    use.set_unread_tokens(state->own.unreadTokens);
  }
}

// Callers that return come to an entry of their own region.
void
Entry::Impl::AddNews(const Audience& aAudience, schema::EntryNotice& aEntry)
{
  // A lost answer of the log must not keep a new version from an entry.
  aEntry.set_operator_end(services.GetConfig().GetEnd());
  auto since = services.Now() - kCrashRepeat;
  for (const auto& crash : services.GetCrashes().ListSince(since)) {
    auto& report = *aEntry.add_crashes();
    report.set_request(crash.request);
    report.set_upstream(crash.upstream);
  }
  if (aAudience.reach == Reach::Far) {
    return;
  }
  for (const auto& refusal : services.GetRefusals().TakeNews()) {
    auto& refused = *aEntry.add_refused();
    refused.set_request(refusal.request);
    auto age = services.Now() - refusal.firstCame;
    refused.set_age_ms(static_cast<std::uint32_t>(age.value));
  }
}

void
Entry::Impl::SendDirectoryNews(const schema::DirectoryNews& aNews)
{
  schema::FleetNotice notice;
  auto& entry = *notice.mutable_entry();
  entry.set_changes_only(true);
  *entry.mutable_directory() = aNews;
  peers.Send(PeerRole::Entry, notice);
}

void
Entry::Impl::TellSides(std::uint64_t aEnd)
{
  toldEnd = aEnd;
  toldSidesAt = services.Now();
  schema::FleetNotice notice;
  notice.mutable_entry()->set_operator_end(aEnd);
  peers.Send(PeerRole::Side, notice);
}

void
Entry::Impl::ForgetSilentEntries()
{
  auto now = services.Now();
  auto forgotten = std::erase_if(entriesHeard, [&](const auto& aRow) {
    bool silent = now - aRow.second.at > kEntrySilence;
    if (silent) {
      services.GetUpstreams().ForgetEntry(aRow.first, now);
    }
    return silent;
  });
  if (forgotten > 0) {
    SetTurns();
  }
  services.SetEntryCount(
    std::max(entriesHeard.size(), peers.List(PeerRole::Entry).size()) + 1);
}

// Among the entries that are heard now.
void
Entry::Impl::SetTurns()
{
  auto before = entriesHeard.lower_bound(settings.vm);
  directory.SetReadRank(
    static_cast<std::size_t>(std::distance(entriesHeard.begin(), before)));
  dispatch::SlotTurns turns({ utils::StableHash(settings.vm), settings.region },
                            settings.regions);
  std::vector<dispatch::SlotRival> others;
  std::ranges::transform(
    entriesHeard, std::back_inserter(others), [](const auto& aRow) {
      return dispatch::SlotRival{ utils::StableHash(aRow.first),
                                  aRow.second.region };
    });
  turns.SetOthers(std::move(others));
  services.GetUpstreams().SetTurns(std::move(turns));
}

void
Entry::Impl::TakeNotice(const Peer& aFrom, const schema::FleetNotice& aNotice)
{
  if (aNotice.has_entry()) {
    TakeEntry(aFrom, aNotice.entry());
  } else if (aNotice.has_side()) {
    TakeSide(aNotice.side());
  }
}

void
Entry::Impl::TakeEntry(const Peer& aFrom, const schema::EntryNotice& aNotice)
{
  std::vector<dispatch::EntryUse> uses;
  for (const auto& use : aNotice.uses()) {
    uses.push_back({ use.upstream(), { use.running(), use.unread_tokens() } });
  }
  if (aNotice.changes_only()) {
    services.GetUpstreams().TakeEntryChanges(aFrom.vm, uses, services.Now());
  } else {
    services.GetUpstreams().TakeEntryUse(aFrom.vm, uses, services.Now());
  }
  auto& heard = entriesHeard[aFrom.vm];
  bool isNew = heard.at == Millis(0);
  heard = { services.Now(), aFrom.region };
  if (isNew) {
    SetTurns();
  }
  services.GetConfig().NoteEnd(aNotice.operator_end());
  if (aNotice.has_directory()) {
    directory.ApplyUpdate(aNotice.directory());
  }
  for (const auto& crash : aNotice.crashes()) {
    services.GetCrashes().Note({ crash.request(), crash.upstream() },
                               services.Now());
  }
  for (const auto& refused : aNotice.refused()) {
    services.GetRefusals().Note(
      { refused.request(), services.Now() - Millis(refused.age_ms()) },
      services.Now());
  }
  services.ServeWaitQueues();
}

void
Entry::Impl::TakeSide(const schema::SideNotice& aNotice)
{
  auto endpoint = net::Endpoint::Parse(aNotice.upstream());
  auto& book = services.GetUpstreams();
  auto row = std::ranges::find_if(book.GetAll(), [&](const auto& aRow) {
    return endpoint && aRow.second->record.endpoint == *endpoint;
  });
  if (row == book.GetAll().end()) {
    return;
  }
  book.TakeSideReport(
    row->first,
    { aNotice.version(), aNotice.accepting(), aNotice.pace() },
    services.Now());
  services.ServeWaitQueues();
}

void
Entry::Impl::LogLoop()
{
  while (true) {
    net::Runtime::Sleep(kLogInterval);
    bool ready = IsReady();
    if (ready != wasReady) {
      wasReady = ready;
      logger.Info(ready ? "ready" : "not ready",
                  { { "config_age_ms",
                      std::to_string(services.GetConfig().GetAge().value) } });
    }
    telemetry::WriteBufferedLogs();
  }
}

} // namespace waxwingyoke::fleet
