#include <algorithm>
#include <mutex>

#include "NodeImpl.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

constexpr Millis kHealingPause(3000);
// Above what a parent that is well lies behind: its own wait and its
// parents' waits end within this.
constexpr Millis kStaleAge(8000);

} // namespace

void
Node::Impl::RunHealing()
{
  for (;;) {
    net::Runtime::Sleep(Jitter(kHealingPause));
    bool isStale = false;
    {
      Lock lock(mutex);
      auto age = store.GetAge(clock.Now());
      isStale = !age || *age > kStaleAge;
    }
    if (isStale) {
      TryHealing();
    }
  }
}

// A node that its parents leave behind asks any other: whoever is cut off
// from the log has neighbours that are not, or the reverse.
void
Node::Impl::TryHealing()
{
  bool toLog = false;
  {
    Lock lock(mutex);
    toLog = healingTurns.TakeLog();
  }
  auto other = PickOther();
  if (!toLog && !other.empty()) {
    PullFrom(other);
  } else if (!pulling.exchange(true)) {
    ReadLog(Millis(0));
    pulling = false;
  }
}

std::string
Node::Impl::PickOther()
{
  auto current = view.Get();
  auto now = clock.Now();
  std::vector<std::string> others;
  Lock lock(mutex);
  std::ranges::for_each(current->members, [&](const auto& aEntry) {
    if (aEntry.first != self && !IsSuspect(aEntry.first, now)) {
      others.push_back(aEntry.first);
    }
  });
  return others.empty() ? std::string() : others[random() % others.size()];
}

void
Node::Impl::PullFrom(const std::string& aVm)
{
  if (pulling.exchange(true)) {
    return;
  }
  if (!Sync(aVm, Millis(0), SyncPart::Records)) {
    Suspect(aVm);
  }
  pulling = false;
}

} // namespace waxwingyoke::membership
