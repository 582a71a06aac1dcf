#include "PeerLink.h"

#include <algorithm>
#include <array>
#include <utility>

#include <schema/Json.h>
#include <telemetry/Metrics.h>
#include <utils/Backoff.h>
#include <utils/Hash.h>

namespace waxwingyoke::fleet {

namespace {

using platform::Topic;
using utils::Millis;

struct RoleName
{
  PeerRole role;
  std::string_view name;
};

constexpr std::array<RoleName, 2> kRoles{ {
  { PeerRole::Entry, "entry" },
  { PeerRole::Side, "side" },
} };

// Between reads of the members' topic. New processes send a hello to those that
// run already; the topic is read for hellos that were lost.
constexpr Millis kMembersInterval(20000);
constexpr Millis kPauseAfterFailure(500);
// Long, as failed reads are charged as well and hellos reach most processes.
constexpr Millis kLongestPause(4000);
// Members that start together register within this time, so the topic is read
// again after it. Each read is charged, so only entries, which are few, do
// this.
constexpr Millis kFirstMembersInterval(1500);
// Interval of checks whether the log was restored from an older copy.
constexpr Millis kEpochPollInterval(500);
// The records that such a copy lacks are written again within this time.
constexpr Millis kReregisterSpread(3000);
// A hello may be lost, and a process may restart without its list of peers: a
// few hellos are sent in quick succession, then they are repeated.
constexpr int kFirstHellos = 3;
constexpr Millis kFirstHelloInterval(1200);
constexpr Millis kHelloInterval(10000);
// A peer counts as alive for this time after its last notice. Sides send
// notices every 2 s to sides of their own region and every 5 s to those of
// others.
constexpr Millis kAliveTime(11000);

std::string_view
GetName(PeerRole aRole)
{
  return std::ranges::find(kRoles, aRole, &RoleName::role)->name;
}

// A VM may run both roles, so each role has a port of its own.
std::uint16_t
GetPort(const platform::FleetSettings& aSettings, PeerRole aRole)
{
  return static_cast<std::uint16_t>(aSettings.firstPeerPort +
                                    (aRole == PeerRole::Side ? 1 : 0));
}

} // namespace

bool
Peer::IsAlive(Millis aNow) const
{
  return aNow - receivedAt < kAliveTime;
}

PeerLink::PeerLink(net::Runtime& aRuntime,
                   const platform::FleetSettings& aSettings,
                   platform::KeyedLog& aLog,
                   PeerRole aRole)
  : runtime_(aRuntime)
  , settings_(aSettings)
  , log_(aLog)
  , role_(aRole)
  , ownEndpoint_{ aSettings.address, GetPort(aSettings, aRole) }
  , startedMs_(static_cast<std::uint64_t>(utils::GetWallTime().value))
{
}

bool
PeerLink::Start(Handler aHandler, utils::Error& aReason)
{
  handler_ = std::move(aHandler);
  // Until the members' topic has been read, only the seeds are available.
  for (const auto& address : settings_.seeds) {
    Peer peer;
    peer.vm = address;
    peer.endpoint = { address, GetPort(settings_, PeerRole::Entry) };
    if (peer.endpoint != ownEndpoint_) {
      peers_[peer.vm] = peer;
    }
  }
  socket_ = net::DatagramSocket::Open(
    runtime_,
    ownEndpoint_,
    [this](const auto& aFrom, auto aBytes) { Receive(aFrom, aBytes); },
    aReason);
  if (!socket_) {
    return false;
  }
  runtime_.Spawn([this] { MembersLoop(); });
  runtime_.Spawn([this] { HelloLoop(); });
  return true;
}

schema::FleetMember
PeerLink::MakeMember() const
{
  schema::FleetMember member;
  member.set_vm(settings_.vm);
  member.set_address(ownEndpoint_.ToString());
  member.set_role(std::string(GetName(role_)));
  member.set_data_centre(settings_.dataCentre);
  member.set_region(settings_.region);
  return member;
}

std::uint64_t
PeerLink::GetLogEpoch() const
{
  return std::max(log_.GetEpoch(), peerLogEpoch_);
}

// Each process sleeps for another time before it registers again, so that they
// don't write all at once.
void
PeerLink::SleepInEpoch(Millis aTime)
{
  auto end = clock_.Now() + aTime;
  while (clock_.Now() < end) {
    net::Runtime::Sleep(std::min(end - clock_.Now(), kEpochPollInterval));
    if (GetLogEpoch() > registeredEpoch_) {
      auto delay = utils::StableHash(settings_.vm, GetLogEpoch()) %
                   static_cast<std::uint64_t>(kReregisterSpread.value);
      net::Runtime::Sleep(Millis(static_cast<std::int64_t>(delay)));
      Register();
      return;
    }
  }
}

void
PeerLink::Register()
{
  auto epochBefore = GetLogEpoch();
  utils::Error reason;
  auto key = settings_.vm + "/" + std::string(GetName(role_));
  utils::Backoff backoff(kPauseAfterFailure, kLongestPause);
  while (
    !log_.Append(Topic::Members, key, schema::ToJson(MakeMember()), reason)) {
    logger_.Report(reason, { { "step", "register" } });
    net::Runtime::Sleep(backoff.NextDelay());
  }
  registeredEpoch_ = std::max(log_.GetEpoch(), epochBefore);
}

void
PeerLink::MembersLoop()
{
  Register();
  bool started = false;
  std::uint64_t end = 0;
  std::uint64_t epoch = 0;
  utils::Backoff backoff(kPauseAfterFailure, kLongestPause);
  while (true) {
    utils::Error reason;
    auto page = started ? log_.Read(Topic::Members, end, Millis(0), reason)
                        : log_.ReadNewest(Topic::Members, reason);
    if (!page) {
      started = started && reason.kind != utils::ErrorKind::LogTrimmed;
      net::Runtime::Sleep(backoff.NextDelay());
      continue;
    }
    backoff.Reset();
    bool isIncomplete = started && page->epoch > epoch;
    epoch = std::max(epoch, page->epoch);
    if (isIncomplete) {
      started = false;
      continue;
    }
    bool first = !std::exchange(started, true);
    end = page->end;
    std::ranges::for_each(page->records,
                          [this](const auto& aRecord) { Apply(aRecord); });
    if (first) {
      SendHello();
    }
    bool readsAgainSoon = first && role_ == PeerRole::Entry;
    SleepInEpoch(readsAgainSoon ? kFirstMembersInterval : kMembersInterval);
  }
}

void
PeerLink::HelloLoop()
{
  for (int sent = 1;; ++sent) {
    SendHello();
    net::Runtime::Sleep(sent < kFirstHellos ? kFirstHelloInterval
                                            : kHelloInterval);
  }
}

void
PeerLink::SendHello()
{
  schema::FleetNotice notice;
  *notice.mutable_hello() = MakeMember();
  SendToAll(notice);
}

void
PeerLink::Apply(const platform::KeyedRecord& aRecord)
{
  schema::FleetMember member;
  utils::Error reason;
  if (aRecord.dropped || !schema::FromJson(aRecord.value, member, reason)) {
    peers_.erase(aRecord.key);
    return;
  }
  ApplyMember(aRecord.key, member);
}

void
PeerLink::ApplyMember(const std::string& aKey,
                      const schema::FleetMember& aMember)
{
  auto endpoint = net::Endpoint::Parse(aMember.address());
  auto role = std::ranges::find(kRoles, aMember.role(), &RoleName::name);
  if (!endpoint || role == kRoles.end() || *endpoint == ownEndpoint_) {
    return;
  }
  // Removes the row of a seed whose VM is now identified.
  std::erase_if(peers_, [&](const auto& aRow) {
    return aRow.second.endpoint == *endpoint && aRow.first != aKey;
  });
  auto& peer = peers_[aKey];
  if (peer.vm.empty()) {
    // Counts as alive until it had time to send its first notice.
    peer.receivedAt = clock_.Now();
  }
  peer.vm = aMember.vm();
  peer.endpoint = *endpoint;
  peer.role = role->role;
  peer.dataCentre = aMember.data_centre();
  peer.region = aMember.region();
}

void
PeerLink::FillSender(schema::FleetNotice& aNotice)
{
  aNotice.set_vm(settings_.vm);
  aNotice.set_started_ms(startedMs_);
  aNotice.set_sequence(++sequence_);
  aNotice.set_log_epoch(GetLogEpoch());
  aNotice.set_leaving(isLeaving_);
}

void
PeerLink::SendToAll(schema::FleetNotice& aNotice)
{
  FillSender(aNotice);
  std::string bytes = aNotice.SerializeAsString();
  std::ranges::for_each(peers_, [&](const auto& aRow) {
    socket_->Send(aRow.second.endpoint, bytes);
  });
}

// A seed whose region is still unknown counts as one of the own region.
bool
PeerLink::IsInScope(const Peer& aPeer, PeerScope aScope) const
{
  bool isInLocalRegion =
    aPeer.region.empty() || aPeer.region == settings_.region;
  return aScope == PeerScope::All ||
         isInLocalRegion == (aScope == PeerScope::LocalRegion);
}

void
PeerLink::Send(PeerRole aTo, schema::FleetNotice& aNotice, PeerScope aScope)
{
  FillSender(aNotice);
  std::string bytes = aNotice.SerializeAsString();
  Visit(aTo, [&](const Peer& aPeer) {
    if (IsInScope(aPeer, aScope)) {
      socket_->Send(aPeer.endpoint, bytes);
    }
  });
}

std::vector<Peer>
PeerLink::List(PeerRole aRole) const
{
  std::vector<Peer> peers;
  Visit(aRole, [&peers](const Peer& aPeer) { peers.push_back(aPeer); });
  return peers;
}

void
PeerLink::Visit(PeerRole aRole,
                const std::function<void(const Peer&)>& aVisitor) const
{
  for (const auto& [key, peer] : peers_) {
    if (peer.role == aRole) {
      aVisitor(peer);
    }
  }
}

void
PeerLink::Receive(const net::Endpoint& aFrom, std::string_view aBytes)
{
  static auto& sBroken =
    telemetry::Metrics::Get().GetCounter("peer_notices_broken_total");
  schema::FleetNotice notice;
  if (!notice.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    sBroken.Add();
    return;
  }
  peerLogEpoch_ = std::max(peerLogEpoch_, notice.log_epoch());
  auto row = std::ranges::find_if(peers_, [&aFrom](const auto& aRow) {
    return aRow.second.endpoint == aFrom;
  });
  if (notice.has_hello()) {
    auto key = notice.vm() + "/" + notice.hello().role();
    ApplyMember(key, notice.hello());
    auto member = peers_.find(key);
    if (member != peers_.end()) {
      member->second.receivedAt = clock_.Now();
    }
    return;
  }
  if (row == peers_.end()) {
    // Its hello was lost; the next one identifies it.
    static auto& sUnknown =
      telemetry::Metrics::Get().GetCounter("peer_notices_unknown_total");
    sUnknown.Add();
    return;
  }
  auto& peer = row->second;
  bool isOutOfOrder = notice.started_ms() < peer.startedMs ||
                      (notice.started_ms() == peer.startedMs &&
                       notice.sequence() <= peer.sequence);
  // If the peer's wall clock was set back before a restart, all its notices
  // look outdated. They are accepted again after this time without an accepted
  // one.
  constexpr Millis kOrderResetTimeout(3000);
  if (isOutOfOrder && clock_.Now() - peer.receivedAt < kOrderResetTimeout) {
    return;
  }
  peer.startedMs = notice.started_ms();
  peer.sequence = notice.sequence();
  peer.receivedAt = clock_.Now();
  handler_(peer, notice);
}

} // namespace waxwingyoke::fleet
