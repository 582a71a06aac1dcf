#include "ProxyLink.h"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace waxwingyoke::fakes {

namespace {

using utils::Millis;

constexpr std::size_t kBlockBytes = 16 << 10;
constexpr std::size_t kMaxQueuedBytes = 256 << 10;
constexpr std::int64_t kMillisPerSecond = 1000;

sockaddr_in
MakeAddress(const net::Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr);
  return address;
}

std::string
FormatAddress(const sockaddr_in& aAddress)
{
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &aAddress.sin_addr, text, sizeof(text));
  return text;
}

Descriptor
MakeSocket()
{
  int number = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(number, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  setsockopt(number, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  return Descriptor(number);
}

bool
WouldBlock()
{
  return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

Descriptor::Descriptor(int aNumber)
  : number_(aNumber)
{
}

Descriptor::~Descriptor()
{
  if (IsOpen()) {
    close(number_);
  }
}

Descriptor::Descriptor(Descriptor&& aOther) noexcept
  : number_(std::exchange(aOther.number_, -1))
{
}

Descriptor&
Descriptor::operator=(Descriptor&& aOther) noexcept
{
  std::swap(number_, aOther.number_);
  return *this;
}

void
Descriptor::ResetOnClose()
{
  linger option{ 1, 0 };
  setsockopt(number_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

ProxyLink::ProxyLink(net::Endpoint aListen,
                     net::Endpoint aTarget,
                     std::uint64_t aSeed)
  : listen_(std::move(aListen))
  , target_(std::move(aTarget))
  , listenText_(listen_.ToString())
  , random_(aSeed)
{
}

bool
ProxyLink::Listen()
{
  auto fresh = MakeSocket();
  auto address = MakeAddress(listen_);
  const auto* socketAddress = reinterpret_cast<const sockaddr*>(&address);
  if (bind(fresh.Get(), socketAddress, sizeof(address)) != 0 ||
      listen(fresh.Get(), SOMAXCONN) != 0) {
    return false;
  }
  listener_ = std::move(fresh);
  return true;
}

void
ProxyLink::SetFaults(const LinkFaults& aFaults)
{
  auto& faults = aFaults.from().empty() ? faults_ : faultsFrom_[aFaults.from()];
  faults = aFaults;
  if (faults.silence_open()) {
    counters_.set_faults_met(counters_.faults_met() + connections_.size());
    std::ranges::for_each(
      connections_, [](auto& aConnection) { aConnection->silent = true; });
  }
  std::ranges::for_each(connections_, [this](auto& aConnection) {
    if (FindFaults(aConnection->from).cut()) {
      Cut(*aConnection);
    }
  });
}

const LinkFaults&
ProxyLink::FindFaults(const std::string& aFrom) const
{
  auto found = std::ranges::find_if(faultsFrom_, [&](const auto& aEntry) {
    return aFrom.starts_with(aEntry.first);
  });
  return found == faultsFrom_.end() ? faults_ : found->second;
}

void
ProxyLink::Cut(Connection& aConnection)
{
  counters_.set_faults_met(counters_.faults_met() + 1);
  aConnection.client.ResetOnClose();
  aConnection.target.ResetOnClose();
  aConnection.closed = true;
}

bool
ProxyLink::IsHeld(const Connection& aConnection, bool aToTarget) const
{
  const auto& faults = FindFaults(aConnection.from);
  return aConnection.silent ||
         (aToTarget ? faults.hold_to_target() : faults.hold_to_client());
}

bool
ProxyLink::ShouldInject(std::uint32_t aPerMille)
{
  constexpr std::uint64_t kMille = 1000;
  bool drawn = aPerMille > 0 && random_() % kMille < aPerMille;
  counters_.set_faults_met(counters_.faults_met() + (drawn ? 1 : 0));
  return drawn;
}

void
ProxyLink::AddPolls(std::vector<pollfd>& aPolls, Millis aNow) const
{
  aPolls.push_back({ listener_.Get(), POLLIN, 0 });
  for (const auto& connection : connections_) {
    auto add = [&](const Descriptor& aEnd,
                   const Pipe& aIn,
                   const Pipe& aOut,
                   bool aInToTarget) {
      bool reads = !aIn.ended && aIn.queuedBytes < kMaxQueuedBytes &&
                   !connection->connecting;
      // A block that is not due yet must not make poll() return.
      bool writes = !aOut.blocks.empty() && aOut.blocks.front().due <= aNow &&
                    !IsHeld(*connection, !aInToTarget);
      auto events =
        static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0));
      if (events != 0) {
        aPolls.push_back({ aEnd.Get(), events, 0 });
      }
    };
    if (connection->connecting) {
      aPolls.push_back({ connection->target.Get(), POLLOUT, 0 });
      continue;
    }
    add(connection->client, connection->toTarget, connection->toClient, true);
    add(connection->target, connection->toClient, connection->toTarget, false);
  }
}

void
ProxyLink::Accept()
{
  while (true) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    Descriptor client(accept4(listener_.Get(),
                              reinterpret_cast<sockaddr*>(&peer),
                              &size,
                              SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!client.IsOpen()) {
      return;
    }
    auto from = FormatAddress(peer);
    if (FindFaults(from).cut()) {
      client.ResetOnClose();
      continue;
    }
    counters_.set_connections(counters_.connections() + 1);
    int one = 1;
    setsockopt(client.Get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    auto connection = std::make_unique<Connection>();
    connection->from = std::move(from);
    connection->client = std::move(client);
    connection->target = MakeSocket();
    auto address = MakeAddress(target_);
    const auto* socketAddress = reinterpret_cast<const sockaddr*>(&address);
    if (connect(connection->target.Get(), socketAddress, sizeof(address)) !=
          0 &&
        errno != EINPROGRESS) {
      connection->client.ResetOnClose();
      continue;
    }
    connections_.push_back(std::move(connection));
  }
}

void
ProxyLink::CheckConnected(Connection& aConnection)
{
  pollfd probe{ aConnection.target.Get(), POLLOUT, 0 };
  if (poll(&probe, 1, 0) != 1) {
    return;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(aConnection.target.Get(), SOL_SOCKET, SO_ERROR, &error, &size);
  aConnection.connecting = false;
  if (error != 0) {
    CloseListenerIfTargetClosed();
    aConnection.client.ResetOnClose();
    aConnection.closed = true;
  }
}

bool
ProxyLink::IsTargetOpen() const
{
  Descriptor probe(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  auto address = MakeAddress(target_);
  const auto* socketAddress = reinterpret_cast<const sockaddr*>(&address);
  return connect(probe.Get(), socketAddress, sizeof(address)) == 0;
}

void
ProxyLink::CloseListenerIfTargetClosed()
{
  if (listener_.IsOpen() && !IsTargetOpen()) {
    listener_ = Descriptor();
  }
}

void
ProxyLink::ReopenListenerIfTargetOpen(Millis aNow)
{
  constexpr Millis kProbeInterval(20);
  if (listener_.IsOpen() || aNow < nextProbe_) {
    return;
  }
  nextProbe_ = aNow + kProbeInterval;
  if (IsTargetOpen()) {
    Listen();
  }
}

void
ProxyLink::Enqueue(Pipe& aPipe, std::string aBytes, Millis aNow)
{
  auto due = aNow + Millis(faults_.delay_ms());
  if (faults_.jitter_ms() > 0) {
    due =
      due +
      Millis(static_cast<std::int64_t>(random_() % (faults_.jitter_ms() + 1)));
  }
  due = std::max(due, aPipe.lastDue);
  if (faults_.bytes_per_s() > 0) {
    auto size = static_cast<std::int64_t>(aBytes.size());
    due = due + Millis(size * kMillisPerSecond /
                       static_cast<std::int64_t>(faults_.bytes_per_s()));
  }
  if (ShouldInject(faults_.corrupt_per_mille())) {
    aBytes[random_() % aBytes.size()] ^= 1;
  }
  aPipe.lastDue = due;
  aPipe.queuedBytes += aBytes.size();
  aPipe.blocks.push_back({ due, std::move(aBytes) });
}

void
ProxyLink::Read(Connection& aConnection, bool aToTarget, Millis aNow)
{
  auto& pipe = aToTarget ? aConnection.toTarget : aConnection.toClient;
  auto& from = aToTarget ? aConnection.client : aConnection.target;
  while (!pipe.ended && pipe.queuedBytes < kMaxQueuedBytes) {
    std::string bytes(kBlockBytes, '\0');
    auto received = recv(from.Get(), bytes.data(), bytes.size(), 0);
    if (received < 0 && WouldBlock()) {
      return;
    }
    if (received <= 0 && !aToTarget) {
      // Must come before the client sees the disconnection and reconnects.
      CloseListenerIfTargetClosed();
    }
    if (received < 0) {
      Cut(aConnection);
      return;
    }
    if (received == 0) {
      pipe.ended = true;
      return;
    }
    bytes.resize(static_cast<std::size_t>(received));
    if (!aToTarget && ShouldInject(faults_.cut_answers_per_mille())) {
      Cut(aConnection);
      return;
    }
    Enqueue(pipe, std::move(bytes), aNow);
  }
}

void
ProxyLink::Write(Connection& aConnection, bool aToTarget, Millis aNow)
{
  if (IsHeld(aConnection, aToTarget)) {
    return;
  }
  auto& pipe = aToTarget ? aConnection.toTarget : aConnection.toClient;
  auto& to = aToTarget ? aConnection.target : aConnection.client;
  while (!pipe.blocks.empty() && pipe.blocks.front().due <= aNow) {
    auto& bytes = pipe.blocks.front().bytes;
    auto sendResult = send(to.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sendResult < 0) {
      if (!WouldBlock()) {
        Cut(aConnection);
      }
      return;
    }
    auto sentBytes = static_cast<std::uint64_t>(sendResult);
    if (aToTarget) {
      counters_.set_bytes_to_target(counters_.bytes_to_target() + sentBytes);
    } else {
      counters_.set_bytes_to_client(counters_.bytes_to_client() + sentBytes);
    }
    pipe.queuedBytes -= sentBytes;
    bytes.erase(0, sentBytes);
    if (bytes.empty()) {
      pipe.blocks.pop_front();
    }
  }
  if (pipe.ended && pipe.blocks.empty() && !pipe.endForwarded) {
    pipe.endForwarded = true;
    shutdown(to.Get(), SHUT_WR);
  }
}

Millis
ProxyLink::Transfer(Millis aNow)
{
  ReopenListenerIfTargetOpen(aNow);
  Accept();
  Millis next(std::numeric_limits<std::int64_t>::max());
  for (auto& connection : connections_) {
    if (connection->connecting && !connection->closed) {
      CheckConnected(*connection);
    }
    for (bool toTarget : { true, false }) {
      if (connection->connecting || connection->closed) {
        continue;
      }
      Read(*connection, toTarget, aNow);
      if (!connection->closed) {
        Write(*connection, toTarget, aNow);
      }
      auto& pipe = toTarget ? connection->toTarget : connection->toClient;
      if (!pipe.blocks.empty() && !IsHeld(*connection, toTarget)) {
        next = std::min(next, pipe.blocks.front().due);
      }
    }
    bool bothEnded =
      connection->toTarget.endForwarded && connection->toClient.endForwarded;
    // A silent connection forwards nothing, so it is closed when the client
    // closes its side.
    bool abandoned = connection->silent && connection->toTarget.ended;
    connection->closed = connection->closed || bothEnded || abandoned;
  }
  std::erase_if(connections_,
                [](const auto& aConnection) { return aConnection->closed; });
  return next;
}

} // namespace waxwingyoke::fakes
