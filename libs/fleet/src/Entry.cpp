#include <fleet/Entry.h>

#include <algorithm>
#include <array>
#include <cmath>
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
#include "QuarantineLog.h"
#include "ServerLimits.h"
#include "StallMonitor.h"

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// Interval of notices about this entry's running requests to entries of its
// region. They send to the same upstreams: each of them places a request in
// about this time.
constexpr Millis kNoticeInterval(25);
// The same to entries of other regions. They send here only what their own
// region has no free slots for, and traffic between regions is expensive.
constexpr Millis kRemoteNoticeInterval(180);
// All counts are sent again after this time, so that the effect of a lost
// notice ends.
constexpr Millis kCompleteInterval(500);
// Sides that missed a notice, or started since, receive the end of the
// operator's topic again.
constexpr Millis kOperatorEndInterval(1000);
// The requests of an entry that sent no notice for this long no longer count.
constexpr Millis kEntryTimeout(1500);
// Leaves of upstreams are reported in all notices for this long. What was
// observed of crashes is reported at once, then again in this interval.
constexpr Millis kEventRepeat(2000);
constexpr Millis kCrashRepeatInterval(200);
// The end of a rate limit is part of complete notices for this long.
constexpr Millis kRateLimitEndRepeat(5000);
// The newest rows of each kind that one notice has room for.
constexpr std::ptrdiff_t kMaxCrashRows = 64;
constexpr std::ptrdiff_t kMaxPartRows = 128;
// The balancer checks readiness each second and removes an entry after two
// failed checks.
constexpr Millis kUnreadyDelay(2200);
// Share of the grace period in which running requests may finish.
constexpr double kGraceShare = 0.9;
// Share of the grace period for a request that is accepted last. Later ones are
// refused, as they would be cut off.
constexpr double kLastRequestShare = 0.5;
constexpr Millis kMaxAcceptTime(3000);
// Before the exit: requests without a response get one of the entry's own.
constexpr Millis kStopMargin(250);
constexpr Millis kDrainPoll(20);
// Before the first check for running requests: the server accepts and begins to
// read what callers have sent until its close.
constexpr Millis kCloseDelay(100);
constexpr Millis kLogInterval(250);
// Other entries are asked for the configuration once it is older than this
// share of the time for which an API key may be accepted without confirmation.
constexpr double kPeerFetchAgeShare = 0.4;
// The same as a share of the time in which a configuration takes effect: beyond
// that time an unknown route or key can't be denied.
constexpr double kPeerFetchApplyShare = 0.75;
// Longer than a successful read of the log takes, so that this read comes
// before the first request to a peer.
constexpr Millis kPeerFetchInterval(150);

/**
 * Peer entries of one scope and what was last sent to them about this entry's
 * requests.
 */
struct PeerGroup
{
  PeerScope scope;
  Millis interval;
  bool isDue = false;
  Millis sentAt;
  Millis completeSentAt;
  std::unordered_map<std::uint64_t, dispatch::UseCount> sentUses;
  /** When all recent events of crashes, and when new ones, were last sent. */
  Millis crashesRepeatedAt;
  Millis crashesSentAt;
  Millis rateLimitsSentAt;
};

/** Another entry that has sent a notice recently. */
struct ActiveEntry
{
  Millis receivedAt;
  std::string region;
};

Millis
Scale(Millis aTime, double aShare)
{
  return Millis(
    static_cast<std::int64_t>(static_cast<double>(aTime.value) * aShare));
}

template<typename Row>
std::vector<Row>
TakeLast(std::vector<Row> aRows, std::ptrdiff_t aCount)
{
  auto surplus = std::ssize(aRows) - aCount;
  if (surplus > 0) {
    aRows.erase(aRows.begin(), aRows.begin() + surplus);
  }
  return aRows;
}

std::uint32_t
GetAgeMs(Millis aTime, Millis aNow)
{
  return static_cast<std::uint32_t>(std::max(aNow - aTime, Millis(0)).value);
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
    , sharing(
        aPorts.client,
        services.GetConfig(),
        peers,
        { std::min(Scale(aSettings.bounds.revoke, kPeerFetchAgeShare),
                   Scale(aSettings.bounds.configApply, kPeerFetchApplyShare)),
          kPeerFetchInterval,
          Millis(0) })
    , quarantineLog(aRuntime,
                    aPorts.log,
                    services.GetCrashes().GetQuarantine(),
                    aSettings.vm)
  {
  }

  bool StartServers(utils::Error& aReason);
  void AddPeerRoutes();
  bool IsReady() const;
  net::HttpLimits GetLimits();
  void NoticeLoop();
  void SendNotice(PeerGroup& aGroup);
  void AnnounceLeave();
  void AddUses(PeerGroup& aGroup, schema::EntryNotice& aEntry);
  void AddEvents(const PeerGroup& aGroup, schema::EntryNotice& aEntry);
  void AddCrashes(PeerGroup& aGroup, schema::EntryNotice& aEntry);
  void AddQuarantined(schema::EntryNotice& aEntry);
  void AddRateLimits(PeerGroup& aGroup, schema::EntryNotice& aEntry);
  void ApplyRateLimits(const std::string& aFrom,
                       const schema::EntryNotice& aNotice);
  void ApplyCrashes(const std::string& aFrom,
                    const schema::EntryNotice& aNotice);
  void UpdateQuarantine();
  void SendDirectoryUpdate(const schema::DirectoryNews& aUpdate);
  void NotifySides(const PeerPosition& aPosition);
  void ExpireEntries();
  void UpdateRanks();
  void UpdateConfigReaders();
  void HandleNotice(const Peer& aFrom, const schema::FleetNotice& aNotice);
  void ApplyEntryNotice(const Peer& aFrom,
                        bool aIsLeaving,
                        const schema::EntryNotice& aNotice);
  void ApplySideNotice(const schema::SideNotice& aNotice);
  void LogLoop();

  net::Runtime& runtime;
  const platform::FleetSettings& settings;
  FleetPorts ports;
  EntryServices services;
  DirectoryFollower directory;
  PeerLink peers;
  ConfigSharing sharing;
  QuarantineLog quarantineLog;
  net::Router peerRouter;
  std::unique_ptr<net::HttpServer> callerServer;
  std::unique_ptr<net::HttpServer> readinessServer;
  std::unique_ptr<net::HttpServer> peerServer;
  telemetry::Logger logger{ "entry" };
  std::array<PeerGroup, 2> peerGroups{ {
    { PeerScope::LocalRegion, kNoticeInterval, false, {}, {}, {}, {}, {}, {} },
    { PeerScope::RemoteRegion,
      kRemoteNoticeInterval,
      false,
      {},
      {},
      {},
      {},
      {},
      {} },
  } };
  std::map<std::string, ActiveEntry> activeEntries;
  /** Position in the operator's topic that the sides were last notified of. */
  PeerPosition notifiedPosition;
  Millis sidesNotifiedAt;
  bool draining = false;
  bool wasReady = false;
  StallMonitor stalls{ kLogInterval };
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
    impl.HandleNotice(aFrom, aNotice);
  };
  if (!impl.peers.Start(handler, aReason) || !impl.StartServers(aReason)) {
    return false;
  }
  auto serve = [&impl] { impl.services.ServeWaitQueues(); };
  impl.services.GetConfig().Start(impl.runtime, [&impl] {
    impl.services.ApplyEvacuations();
    impl.services.ServeWaitQueues();
  });
  impl.directory.OnUpdate(
    [&impl](const auto& aUpdate) { impl.SendDirectoryUpdate(aUpdate); });
  impl.directory.Start(impl.runtime, serve);
  impl.runtime.Spawn([&impl] { impl.NoticeLoop(); });
  impl.sharing.Start(impl.runtime);
  impl.quarantineLog.Start();
  impl.runtime.Spawn([&impl] { impl.LogLoop(); });
  return true;
}

// Reports not ready first, and still accepts what the balancer sends until it
// has removed this entry.
void
Entry::Drain()
{
  auto& impl = *impl_;
  impl.draining = true;
  utils::Clock clock;
  auto grace = impl.settings.bounds.grace;
  auto drainTime = Scale(grace, kGraceShare);
  auto end = clock.Now() + drainTime;
  // A grace time that is too short for the balancer still leaves time to
  // answer.
  auto unreadyDelay =
    std::clamp(drainTime - kStopMargin - kCloseDelay, Millis(0), kUnreadyDelay);
  auto acceptTime = std::min(
    std::max(Scale(grace, kGraceShare - kLastRequestShare), unreadyDelay),
    Scale(grace, kLastRequestShare));
  impl.services.SetAcceptEnd(clock.Now() +
                             std::min(acceptTime, kMaxAcceptTime));
  net::Runtime::Sleep(unreadyDelay);
  impl.callerServer->Close();
  net::Runtime::Sleep(kCloseDelay);
  auto isBusy = [&] { return impl.callerServer->GetActiveCount() > 0; };
  while (isBusy() && clock.Now() < end - kStopMargin) {
    if (!impl.services.HasQueuedRequests()) {
      impl.AnnounceLeave();
    }
    net::Runtime::Sleep(kDrainPoll);
  }
  impl.AnnounceLeave();
  std::ranges::for_each(impl.services.GetExchanges(),
                        [](Exchange* aExchange) { aExchange->Stop(); });
  while (isBusy() && clock.Now() < end) {
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
  auto memory = MakeRequestMemory(settings);
  callerServer = net::HttpServer::Builder(runtime)
                   .SetEndpoint(*settings.callers)
                   .SetMemory(memory)
                   .SetMaxConnections(GetMaxCallerConnections(settings))
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
          .SetMemory(memory)
          .SetMaxBodyBytes(kMaxControlBodyBytes)
          // Any path: the balancer requests nothing else at this address.
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
                     .SetMemory(memory)
                     .SetMaxBodyBytes(kMaxControlBodyBytes)
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

// An entry that has no configuration, or one too old to accept API keys, can
// only refuse requests.
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
    UpdateQuarantine();
    bool changed = services.TakeUseChange();
    for (auto& peerGroup : peerGroups) {
      peerGroup.isDue = peerGroup.isDue || changed;
      auto interval = peerGroup.isDue ? peerGroup.interval : kCompleteInterval;
      if (services.Now() - peerGroup.sentAt >= interval) {
        SendNotice(peerGroup);
      }
    }
    ExpireEntries();
    // A limit frees sends with time, without any notice.
    if (services.GetUpstreams().HasRateLimits(services.Now())) {
      services.ServeWaitQueues();
    }
    auto position = services.GetConfig().GetPosition();
    if (position != notifiedPosition ||
        services.Now() - sidesNotifiedAt >= kOperatorEndInterval) {
      services.MarkUseChanged();
      NotifySides(position);
    }
  }
}

void
Entry::Impl::SendNotice(PeerGroup& aGroup)
{
  schema::FleetNotice notice;
  auto& entry = *notice.mutable_entry();
  AddUses(aGroup, entry);
  AddEvents(aGroup, entry);
  AddCrashes(aGroup, entry);
  AddRateLimits(aGroup, entry);
  aGroup.isDue = false;
  aGroup.sentAt = services.Now();
  peers.Send(PeerRole::Entry, notice, aGroup.scope);
}

// Passes this entry's parts of rate limits on. Requests that wait here may
// still use them, so this comes after the last of those.
void
Entry::Impl::AnnounceLeave()
{
  auto& roster = services.GetUpstreams().GetRoster();
  if (roster.HasLeft() || !roster.Leave(services.Now())) {
    return;
  }
  peers.SetLeaving();
  // The process may end at once, and a notice may be lost.
  constexpr int kLeaveNotices = 2;
  for (int sent = 0; sent < kLeaveNotices; ++sent) {
    std::ranges::for_each(peerGroups,
                          [this](PeerGroup& aGroup) { SendNotice(aGroup); });
  }
}

// Sends mostly the changes since the last notice: in that time a request starts
// or ends at only a few of many upstreams.
void
Entry::Impl::AddUses(PeerGroup& aGroup, schema::EntryNotice& aEntry)
{
  bool complete = services.Now() - aGroup.completeSentAt >= kCompleteInterval;
  if (complete) {
    aGroup.completeSentAt = services.Now();
    aGroup.sentUses.clear();
  }
  aEntry.set_changes_only(!complete);
  for (const auto& [id, state] : services.GetUpstreams().GetAll()) {
    auto& sentUse = aGroup.sentUses[state->hash];
    if (sentUse == state->own) {
      continue;
    }
    sentUse = state->own;
    auto& use = *aEntry.add_uses();
    use.set_upstream(state->hash);
    use.set_running(state->own.running);
    use.set_unread_tokens(state->own.unreadTokens);
  }
}

// Refused requests are sent only to entries of the own region, as that is where
// callers retry.
void
Entry::Impl::AddEvents(const PeerGroup& aGroup, schema::EntryNotice& aEntry)
{
  // An entry whose read of the log lost its answer still has to receive a new
  // version in time.
  FillPosition(services.GetConfig().GetPosition(), aEntry);
  auto since = services.Now() - kEventRepeat;
  for (const auto& state : services.GetUpstreams().ListLeavingSince(since)) {
    auto& report = *aEntry.add_leaving();
    report.set_upstream(state->hash);
    report.set_started_ms(state->record.startedMs);
  }
  if (aGroup.scope == PeerScope::RemoteRegion) {
    return;
  }
  for (const auto& refusal : services.GetRefusals().TakePending()) {
    auto& refused = *aEntry.add_refused();
    refused.set_request(refusal.request);
    auto age = services.Now() - refusal.firstArrivedAt;
    refused.set_age_ms(static_cast<std::uint32_t>(age.value));
  }
}

void
Entry::Impl::AddCrashes(PeerGroup& aGroup, schema::EntryNotice& aEntry)
{
  auto now = services.Now();
  bool repeats = now - aGroup.crashesRepeatedAt >= kCrashRepeatInterval;
  auto since = repeats ? now - kEventRepeat : aGroup.crashesSentAt;
  aGroup.crashesSentAt = now;
  const auto& crashes = services.GetCrashes();
  for (const auto& crash :
       TakeLast(crashes.ListReportsSince(since), kMaxCrashRows)) {
    auto& report = *aEntry.add_crashes();
    report.set_request(crash.request);
    report.set_upstream(crash.upstream);
    report.mutable_parts()->Add(crash.parts.begin(), crash.parts.end());
    report.set_age_ms(GetAgeMs(crash.crashedAt, now));
    report.set_begun(crash.hasBegun);
  }
  for (const auto& sound :
       TakeLast(crashes.ListSoundSince(since), kMaxPartRows)) {
    auto& report = *aEntry.add_sound_parts();
    report.set_part(sound.part);
    report.set_age_ms(GetAgeMs(sound.survivedAt, now));
  }
  if (repeats) {
    aGroup.crashesRepeatedAt = now;
    aEntry.set_survivals(crashes.GetSurvivals().GetOwnTotal());
    AddQuarantined(aEntry);
  }
}

// Repeated for as long as it holds, for entries that start meanwhile.
void
Entry::Impl::AddQuarantined(schema::EntryNotice& aEntry)
{
  auto now = services.Now();
  const auto& quarantine = services.GetCrashes().GetQuarantine();
  for (const auto& part : TakeLast(quarantine.List(now), kMaxPartRows)) {
    auto& report = *aEntry.add_quarantined();
    report.set_part(part.part);
    report.set_left_ms(static_cast<std::uint64_t>((part.until - now).value));
    report.set_duration_ms(static_cast<std::uint64_t>(part.duration.value));
  }
}

// A limit that holds is repeated, for entries that start meanwhile.
void
Entry::Impl::AddRateLimits(PeerGroup& aGroup, schema::EntryNotice& aEntry)
{
  auto now = services.Now();
  auto since = std::exchange(aGroup.rateLimitsSentAt, now);
  for (const auto& [id, state] : services.GetUpstreams().GetAll()) {
    const auto& limit = state->rateLimit;
    const auto& limitState = limit.GetState();
    bool isStated =
      limitState.rate || now - limit.GetStateChangedAt() < kRateLimitEndRepeat;
    bool isDue = !aEntry.changes_only() || limit.GetReportChangedAt() >= since;
    if (limitState.order == 0 || !isStated || !isDue) {
      continue;
    }
    auto& report = *aEntry.add_rate_limits();
    report.set_upstream(state->hash);
    report.set_started_ms(state->record.startedMs);
    report.set_order(limitState.order);
    report.set_in_force(limitState.rate.has_value());
    report.set_per_second(limitState.rate.value_or(0));
    report.set_demand(static_cast<std::uint32_t>(limit.GetDemand(now)));
  }
}

void
Entry::Impl::ApplyRateLimits(const std::string& aFrom,
                             const schema::EntryNotice& aNotice)
{
  using dispatch::RateDemand;
  constexpr auto kMostDemand = static_cast<std::uint32_t>(RateDemand::Strong);
  for (const auto& report : aNotice.rate_limits()) {
    bool isRate =
      std::isfinite(report.per_second()) && report.per_second() >= 0;
    if (report.order() == 0 || !isRate) {
      continue;
    }
    dispatch::RateLimitReport applied;
    applied.upstream = report.upstream();
    applied.startedMs = report.started_ms();
    applied.state.order = report.order();
    if (report.in_force()) {
      applied.state.rate = report.per_second();
    }
    applied.demand =
      static_cast<RateDemand>(std::min(report.demand(), kMostDemand));
    auto changed =
      services.GetUpstreams().ApplyRateLimit(aFrom, applied, services.Now());
    if (changed) {
      services.MarkUseChanged();
      services.LogRateLimit(*changed, aFrom);
    }
  }
}

void
Entry::Impl::ApplyCrashes(const std::string& aFrom,
                          const schema::EntryNotice& aNotice)
{
  auto now = services.Now();
  auto& crashes = services.GetCrashes();
  if (aNotice.survivals() > 0) {
    crashes.GetSurvivals().ApplyTotal(aFrom, aNotice.survivals(), now);
  }
  for (const auto& crash : aNotice.crashes()) {
    crashes.RecordCrash({ crash.request(),
                          crash.upstream(),
                          { crash.parts().begin(), crash.parts().end() },
                          now - Millis(crash.age_ms()),
                          crash.begun() },
                        now);
  }
  for (const auto& part : aNotice.quarantined()) {
    bool isNew = !crashes.GetQuarantine().IsQuarantined(part.part(), now);
    dispatch::QuarantinedPart applied{ part.part(),
                                       now + utils::BoundMillis(part.left_ms()),
                                       utils::BoundMillis(part.duration_ms()) };
    crashes.GetQuarantine().Apply(applied);
    if (isNew && crashes.GetQuarantine().IsQuarantined(part.part(), now)) {
      quarantineLog.LogPart("quarantined by another entry", applied);
    }
  }
  // After the quarantines, some of which these may end.
  for (const auto& part : aNotice.sound_parts()) {
    crashes.ApplySoundPart({ part.part(), now - Millis(part.age_ms()) }, now);
  }
}

// Decides on what has been observed, and stores what changed.
void
Entry::Impl::UpdateQuarantine()
{
  auto now = services.Now();
  auto& crashes = services.GetCrashes();
  for (const auto& part : crashes.Evaluate(now)) {
    quarantineLog.LogPart("a part of prompts is quarantined", part);
    quarantineLog.Store(part);
    services.MarkUseChanged();
  }
  for (auto part : crashes.TakeReleased()) {
    dispatch::QuarantinedPart released{ part, now, Millis(0) };
    quarantineLog.LogPart("a quarantine has ended early", released);
    quarantineLog.Store(released);
  }
}

void
Entry::Impl::SendDirectoryUpdate(const schema::DirectoryNews& aUpdate)
{
  schema::FleetNotice notice;
  auto& entry = *notice.mutable_entry();
  entry.set_changes_only(true);
  *entry.mutable_directory() = aUpdate;
  peers.Send(PeerRole::Entry, notice);
}

void
Entry::Impl::NotifySides(const PeerPosition& aPosition)
{
  notifiedPosition = aPosition;
  sidesNotifiedAt = services.Now();
  schema::FleetNotice notice;
  FillPosition(aPosition, *notice.mutable_entry());
  peers.Send(PeerRole::Side, notice);
}

void
Entry::Impl::ExpireEntries()
{
  auto now = services.Now();
  auto removedCount = std::erase_if(activeEntries, [&](const auto& aRow) {
    bool expired = now - aRow.second.receivedAt > kEntryTimeout;
    if (expired) {
      services.GetUpstreams().RemoveEntry(aRow.first, now);
    }
    return expired;
  });
  if (removedCount > 0) {
    UpdateRanks();
  }
  services.SetEntryCount(
    std::max(activeEntries.size(), peers.List(PeerRole::Entry).size()) + 1);
}

// Lets few entries of the region read the operator's topic; the others ask
// them.
void
Entry::Impl::UpdateConfigReaders()
{
  std::vector<std::string> localVms{ settings.vm };
  for (const auto& [vm, entry] : activeEntries) {
    if (entry.region == settings.region) {
      localVms.push_back(vm);
    }
  }
  auto readers = PickConfigReaders(std::move(localVms));
  bool isReader = std::ranges::find(readers, settings.vm) != readers.end();
  services.GetConfig().SetReader(isReader);
  std::erase(readers, settings.vm);
  sharing.SetPreferred(std::move(readers));
}

// Computes ranks among the entries that are active now.
void
Entry::Impl::UpdateRanks()
{
  auto before = activeEntries.lower_bound(settings.vm);
  UpdateConfigReaders();
  auto rank =
    static_cast<std::size_t>(std::distance(activeEntries.begin(), before));
  directory.SetReadRank(rank);
  services.GetConfig().SetReadRank(rank, activeEntries.size() + 1);
  dispatch::SlotArbiter arbiter(
    { utils::StableHash(settings.vm), settings.region }, settings.regions);
  std::vector<dispatch::CompetingEntry> others;
  std::ranges::transform(
    activeEntries, std::back_inserter(others), [](const auto& aRow) {
      return dispatch::CompetingEntry{ utils::StableHash(aRow.first),
                                       aRow.second.region };
    });
  arbiter.SetCompetitors(std::move(others));
  services.GetUpstreams().SetArbiter(std::move(arbiter));
}

void
Entry::Impl::HandleNotice(const Peer& aFrom, const schema::FleetNotice& aNotice)
{
  if (aNotice.has_entry()) {
    ApplyEntryNotice(aFrom, aNotice.leaving(), aNotice.entry());
  } else if (aNotice.has_side()) {
    ApplySideNotice(aNotice.side());
  }
}

void
Entry::Impl::ApplyEntryNotice(const Peer& aFrom,
                              bool aIsLeaving,
                              const schema::EntryNotice& aNotice)
{
  std::vector<dispatch::EntryUse> uses;
  for (const auto& use : aNotice.uses()) {
    uses.push_back({ use.upstream(), { use.running(), use.unread_tokens() } });
  }
  if (aNotice.changes_only()) {
    services.GetUpstreams().ApplyEntryChanges(aFrom.vm, uses, services.Now());
  } else {
    services.GetUpstreams().ApplyEntryUse(aFrom.vm, uses, services.Now());
  }
  services.GetUpstreams().GetRoster().RecordNotice(
    aFrom.vm, aFrom.region, aIsLeaving, services.Now());
  auto& active = activeEntries[aFrom.vm];
  bool isNew = active.receivedAt == Millis(0);
  active = { services.Now(), aFrom.region };
  if (isNew) {
    UpdateRanks();
  }
  services.GetConfig().ApplyPeerPosition(ReadPosition(aNotice));
  for (const auto& leave : aNotice.leaving()) {
    services.GetUpstreams().ApplyLeave(leave.upstream(), leave.started_ms());
  }
  if (aNotice.has_directory()) {
    directory.ApplyUpdate(aNotice.directory());
    if (aFrom.region == settings.region) {
      directory.ShortenGrace(aNotice.directory());
    }
  }
  ApplyCrashes(aFrom.vm, aNotice);
  ApplyRateLimits(aFrom.vm, aNotice);
  for (const auto& refused : aNotice.refused()) {
    services.GetRefusals().RecordRefusal(
      { refused.request(), services.Now() - Millis(refused.age_ms()) },
      services.Now());
  }
  services.ServeWaitQueues();
}

void
Entry::Impl::ApplySideNotice(const schema::SideNotice& aNotice)
{
  auto endpoint = net::Endpoint::Parse(aNotice.upstream());
  auto& registry = services.GetUpstreams();
  auto row = std::ranges::find_if(registry.GetAll(), [&](const auto& aRow) {
    return endpoint && aRow.second->record.endpoint == *endpoint;
  });
  if (row == registry.GetAll().end()) {
    return;
  }
  registry.ApplySideReport(
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
    stalls.Check();
    quarantineLog.StoreAgainIfRestored();
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
