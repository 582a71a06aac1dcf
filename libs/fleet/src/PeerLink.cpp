#include "PeerLink.h"

#include <algorithm>
#include <array>
#include <utility>

#include <schema/Json.h>
#include <telemetry/Metrics.h>
#include <utils/Backoff.h>

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

// Processes greet those that were there before them; the topic is looked at
// for greetings that were lost.
constexpr Millis kMembersInterval(20000);
constexpr Millis kPauseAfterFailure(500);
// Reads that fail are charged as well, and greetings reach most processes.
constexpr Millis kLongestPause(4000);
// Members that start together register within this time; each is charged for
// a look, so that only entries, which are few, take it.
constexpr Millis kFirstLook(1500);
// A greeting may be lost, and a process may restart without its peers: a few
// come in quick succession, then they are repeated.
constexpr int kFirstHellos = 3;
constexpr Millis kFirstHelloInterval(1200);
constexpr Millis kHelloInterval(10000);
// Sides tell others of their region of themselves every two seconds, those of
// other regions every five.
constexpr Millis kAliveTime(11000);

std::string_view
GetName(PeerRole aRole)
{
  return std::ranges::find(kRoles, aRole, &RoleName::role)->name;
}

// Both roles may run on one VM and share its ports.
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
  return aNow - heardAt < kAliveTime;
}

PeerLink::PeerLink(net::Runtime& aRuntime,
                   const platform::FleetSettings& aSettings,
                   platform::KeyedLog& aLog,
                   PeerRole aRole)
  : runtime_(aRuntime)
  , settings_(aSettings)
  , log_(aLog)
  , role_(aRole)
  , own_{ aSettings.address, GetPort(aSettings, aRole) }
  , startedMs_(static_cast<std::uint64_t>(utils::GetWallTime().value))
{
}

bool
PeerLink::Start(Handler aHandler, utils::Error& aReason)
{
  handler_ = std::move(aHandler);
  // Until the members' topic can be read, the seeds are all that is known.
  for (const auto& address : settings_.seeds) {
    Peer peer;
    peer.vm = address;
    peer.endpoint = { address, GetPort(settings_, PeerRole::Entry) };
    if (peer.endpoint != own_) {
      peers_[peer.vm] = peer;
    }
  }
  socket_ = net::DatagramSocket::Open(
    runtime_,
    own_,
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
  member.set_address(own_.ToString());
  member.set_role(std::string(GetName(role_)));
  member.set_data_centre(settings_.dataCentre);
  member.set_region(settings_.region);
  return member;
}

void
PeerLink::Register()
{
  utils::Error reason;
  auto key = settings_.vm + "/" + std::string(GetName(role_));
  utils::Backoff backoff(kPauseAfterFailure, kLongestPause);
  while (
    !log_.Append(Topic::Members, key, schema::ToJson(MakeMember()), reason)) {
    logger_.Report(reason, { { "step", "register" } });
    net::Runtime::Sleep(backoff.Take());
  }
}

void
PeerLink::MembersLoop()
{
  Register();
  bool started = false;
  std::uint64_t end = 0;
  utils::Backoff backoff(kPauseAfterFailure, kLongestPause);
  while (true) {
    utils::Error reason;
    auto page = started ? log_.Read(Topic::Members, end, Millis(0), reason)
                        : log_.ReadNewest(Topic::Members, reason);
    if (!page) {
      started = started && reason.kind != utils::ErrorKind::LogTrimmed;
      net::Runtime::Sleep(backoff.Take());
      continue;
    }
    backoff.Reset();
    bool first = !std::exchange(started, true);
    end = page->end;
    std::ranges::for_each(page->records,
                          [this](const auto& aRecord) { Apply(aRecord); });
    if (first) {
      SayHello();
    }
    bool looksAgain = first && role_ == PeerRole::Entry;
    net::Runtime::Sleep(looksAgain ? kFirstLook : kMembersInterval);
  }
}

void
PeerLink::HelloLoop()
{
  for (int sent = 1;; ++sent) {
    SayHello();
    net::Runtime::Sleep(sent < kFirstHellos ? kFirstHelloInterval
                                            : kHelloInterval);
  }
}

void
PeerLink::SayHello()
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
  TakeMember(aRecord.key, member);
}

void
PeerLink::TakeMember(const std::string& aKey,
                     const schema::FleetMember& aMember)
{
  auto endpoint = net::Endpoint::Parse(aMember.address());
  auto role = std::ranges::find(kRoles, aMember.role(), &RoleName::name);
  if (!endpoint || role == kRoles.end() || *endpoint == own_) {
    return;
  }
  // A seed that is now known by name.
  std::erase_if(peers_, [&](const auto& aRow) {
    return aRow.second.endpoint == *endpoint && aRow.first != aKey;
  });
  auto& peer = peers_[aKey];
  if (peer.vm.empty()) {
    // Until it had time to say something itself.
    peer.heardAt = clock_.Now();
  }
  peer.vm = aMember.vm();
  peer.endpoint = *endpoint;
  peer.role = role->role;
  peer.dataCentre = aMember.data_centre();
  peer.region = aMember.region();
}

void
PeerLink::Stamp(schema::FleetNotice& aNotice)
{
  aNotice.set_vm(settings_.vm);
  aNotice.set_started_ms(startedMs_);
  aNotice.set_sequence(++sequence_);
}

void
PeerLink::SendToAll(schema::FleetNotice& aNotice)
{
  Stamp(aNotice);
  std::string bytes = aNotice.SerializeAsString();
  std::ranges::for_each(peers_, [&](const auto& aRow) {
    socket_->Send(aRow.second.endpoint, bytes);
  });
}

// A seed whose region is not known yet counts as near.
bool
PeerLink::IsWithin(const Peer& aPeer, Reach aReach) const
{
  bool isNear = aPeer.region.empty() || aPeer.region == settings_.region;
  return aReach == Reach::All || isNear == (aReach == Reach::Near);
}

void
PeerLink::Send(PeerRole aTo, schema::FleetNotice& aNotice, Reach aReach)
{
  Stamp(aNotice);
  std::string bytes = aNotice.SerializeAsString();
  Visit(aTo, [&](const Peer& aPeer) {
    if (IsWithin(aPeer, aReach)) {
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
  auto row = std::ranges::find_if(peers_, [&aFrom](const auto& aRow) {
    return aRow.second.endpoint == aFrom;
  });
  if (notice.has_hello()) {
    auto key = notice.vm() + "/" + notice.hello().role();
    TakeMember(key, notice.hello());
    auto member = peers_.find(key);
    if (member != peers_.end()) {
      member->second.heardAt = clock_.Now();
    }
    return;
  }
  if (row == peers_.end()) {
    // Its greeting was lost; the next one tells who it is.
    static auto& sUnknown =
      telemetry::Metrics::Get().GetCounter("peer_notices_unknown_total");
    sUnknown.Add();
    return;
  }
  auto& peer = row->second;
  bool older = notice.started_ms() < peer.startedMs ||
               (notice.started_ms() == peer.startedMs &&
                notice.sequence() <= peer.sequence);
  // A clock that was set back must not silence a peer for good.
  constexpr Millis kSilence(3000);
  if (older && clock_.Now() - peer.heardAt < kSilence) {
    return;
  }
  peer.startedMs = notice.started_ms();
  peer.sequence = notice.sequence();
  peer.heardAt = clock_.Now();
  handler_(peer, notice);
}

} // namespace waxwingyoke::fleet
