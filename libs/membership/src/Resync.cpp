#include <algorithm>
#include <mutex>

#include "NodeImpl.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

constexpr Millis kResyncInterval(3000);
// More than a healthy parent is ever behind: its own wait and those of its
// ancestors end within this time.
constexpr Millis kStaleAge(8000);

} // namespace

void
Node::Impl::RunResync()
{
  for (;;) {
    net::Runtime::Sleep(Jitter(kResyncInterval));
    bool isStale = false;
    {
      Lock lock(mutex);
      auto age = store.GetAge(clock.Now());
      isStale = !age || *age > kStaleAge;
    }
    if (isStale) {
      TryResync();
    }
  }
}

// A stale node queries a random peer or the log itself: if its parents are cut
// off from the log, other nodes may not be; if it is cut off from its peers,
// the log may still be reachable.
void
Node::Impl::TryResync()
{
  bool useLog = false;
  {
    Lock lock(mutex);
    useLog = resyncRotation.PickLog();
  }
  auto peer = PickRandomPeer();
  if (!useLog && !peer.empty()) {
    PullFrom(peer);
  } else if (!pulling.exchange(true)) {
    ReadLog(Millis(0));
    pulling = false;
  }
}

std::string
Node::Impl::PickRandomPeer()
{
  auto current = view.Get();
  auto now = clock.Now();
  std::vector<std::string> peers;
  Lock lock(mutex);
  std::ranges::for_each(current->members, [&](const auto& aEntry) {
    if (aEntry.first != self && !IsSuspect(aEntry.first, now)) {
      peers.push_back(aEntry.first);
    }
  });
  return peers.empty() ? std::string() : peers[random() % peers.size()];
}

void
Node::Impl::PullFrom(const std::string& aVm)
{
  if (pulling.exchange(true)) {
    return;
  }
  if (!Sync(aVm, Millis(0), SyncPart::Records)) {
    MarkSuspect(aVm);
  }
  pulling = false;
}

} // namespace waxwingyoke::membership
