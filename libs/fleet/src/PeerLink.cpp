#include "PeerLink.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <schema/Json.h>
#include <telemetry/Metrics.h>

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

// Members change rarely; a read returns as soon as one does.
constexpr Millis kMembersWait(5000);
constexpr Millis kPauseAfterFailure(500);
// Members that start together are read together.
constexpr Millis kPauseAfterChange(400);

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
  return true;
}

void
PeerLink::Register()
{
  schema::FleetMember member;
  member.set_vm(settings_.vm);
  member.set_address(own_.ToString());
  member.set_role(std::string(GetName(role_)));
  member.set_data_centre(settings_.dataCentre);
  member.set_region(settings_.region);
  utils::Error reason;
  auto key = settings_.vm + "/" + std::string(GetName(role_));
  while (!log_.Append(Topic::Members, key, schema::ToJson(member), reason)) {
    logger_.Report(reason, { { "step", "register" } });
    net::Runtime::Sleep(kPauseAfterFailure);
  }
}

void
PeerLink::MembersLoop()
{
  Register();
  bool started = false;
  std::uint64_t end = 0;
  while (true) {
    utils::Error reason;
    auto page = started ? log_.Read(Topic::Members, end, kMembersWait, reason)
                        : log_.ReadNewest(Topic::Members, reason);
    if (!page) {
      started = started && reason.kind != utils::ErrorKind::LogTrimmed;
      net::Runtime::Sleep(kPauseAfterFailure);
      continue;
    }
    started = true;
    end = page->end;
    std::ranges::for_each(page->records,
                          [this](const auto& aRecord) { Apply(aRecord); });
    net::Runtime::Sleep(kPauseAfterChange);
  }
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
  auto endpoint = net::Endpoint::Parse(member.address());
  auto role = std::ranges::find(kRoles, member.role(), &RoleName::name);
  if (!endpoint || role == kRoles.end() || *endpoint == own_) {
    return;
  }
  // A seed that is now known by name.
  std::erase_if(peers_, [&](const auto& aRow) {
    return aRow.second.endpoint == *endpoint && aRow.first != aRecord.key;
  });
  auto& peer = peers_[aRecord.key];
  peer.vm = member.vm();
  peer.endpoint = *endpoint;
  peer.role = role->role;
  peer.dataCentre = member.data_centre();
  peer.region = member.region();
}

void
PeerLink::Send(PeerRole aTo, schema::FleetNotice& aNotice)
{
  aNotice.set_vm(settings_.vm);
  aNotice.set_started_ms(startedMs_);
  aNotice.set_sequence(++sequence_);
  std::string bytes;
  aNotice.SerializeToString(&bytes);
  for (const auto& [key, peer] : peers_) {
    if (peer.role == aTo) {
      socket_->Send(peer.endpoint, bytes);
    }
  }
}

std::vector<Peer>
PeerLink::List(PeerRole aRole) const
{
  std::vector<Peer> peers;
  for (const auto& [key, peer] : peers_) {
    if (peer.role == aRole) {
      peers.push_back(peer);
    }
  }
  return peers;
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
  if (row == peers_.end()) {
    // A process that the members' topic has not shown yet.
    Peer peer;
    peer.vm = notice.vm();
    peer.endpoint = aFrom;
    peer.role = notice.has_side() ? PeerRole::Side : PeerRole::Entry;
    row =
      peers_.emplace(notice.vm() + "/" + std::string(GetName(peer.role)), peer)
        .first;
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
