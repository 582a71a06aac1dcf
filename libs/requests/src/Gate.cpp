#include "Gate.h"

#include <mutex>

#include <net/Runtime.h>

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

// How often one that waits looks whether its caller is still there.
constexpr Millis kLookInterval(100);
constexpr Millis kIdlePoll(10);

} // namespace

Gate::Gate(std::size_t aSlots, std::size_t aQueue)
  : admission_(aSlots, aQueue)
{
}

bool
Gate::RefuseClosed(utils::Error& aReason) const
{
  if (closed_) {
    aReason.Set(ErrorKind::Leaving, "this side is leaving");
  } else if (paused_) {
    aReason.Set(ErrorKind::StaleRevision, "the upstream is switched over");
  }
  return closed_ || paused_;
}

bool
Gate::Enter(Applicant& aApplicant,
            const std::function<bool()>& aIsCancelled,
            utils::Error& aReason)
{
  std::unique_lock lock(mutex_);
  if (RefuseClosed(aReason)) {
    return false;
  }
  aApplicant.ticket = nextTicket_++;
  auto result = admission_.Arrive(aApplicant, clock_.Now());
  if (result.shed) {
    Shed(*result.shed);
  }
  if (result.admitted == Admitted::Refused) {
    aReason.Set(ErrorKind::Overloaded, "no slot in time");
    return false;
  }
  if (result.admitted == Admitted::Run) {
    return true;
  }
  return Wait(lock, aApplicant, aIsCancelled, aReason);
}

bool
Gate::Wait(std::unique_lock<boost::fibers::mutex>& aLock,
           const Applicant& aApplicant,
           const std::function<bool()>& aIsCancelled,
           utils::Error& aReason)
{
  auto waiter = std::make_shared<Waiter>();
  waiters_[aApplicant.ticket] = waiter;
  // A slot may be free for it though others wait, such as a suspect.
  WakeNext();
  while (!waiter->admitted && !waiter->refused) {
    bool late = clock_.Now() >= aApplicant.deadline;
    if (late || paused_ || aIsCancelled()) {
      admission_.Abandon(aApplicant.ticket);
      break;
    }
    waiter->changed.wait_for(aLock, kLookInterval.ToChrono());
  }
  waiters_.erase(aApplicant.ticket);
  if (waiter->admitted) {
    return true;
  }
  if (!waiter->refused && !RefuseClosed(aReason)) {
    aReason.Set(ErrorKind::Overloaded, "no slot before the deadline");
  } else if (waiter->refused) {
    aReason.Set(ErrorKind::Overloaded,
                "shed: not to be finished in time, or for more urgent work");
  }
  return false;
}

void
Gate::Shed(std::uint64_t aTicket)
{
  auto place = waiters_.find(aTicket);
  if (place != waiters_.end()) {
    place->second->refused = true;
    place->second->changed.notify_all();
  }
}

void
Gate::WakeNext()
{
  if (paused_) {
    return;
  }
  while (auto ticket = admission_.TakeHopeless(clock_.Now())) {
    Shed(*ticket);
  }
  while (auto ticket = admission_.TakeNext(clock_.Now())) {
    auto place = waiters_.find(*ticket);
    if (place != waiters_.end()) {
      place->second->admitted = true;
      place->second->changed.notify_all();
    }
  }
}

void
Gate::Leave(std::uint64_t aTicket)
{
  std::unique_lock lock(mutex_);
  admission_.Leave(aTicket, clock_.Now());
  WakeNext();
}

void
Gate::Pause()
{
  std::unique_lock lock(mutex_);
  paused_ = true;
}

void
Gate::Resume()
{
  std::unique_lock lock(mutex_);
  paused_ = false;
  WakeNext();
}

void
Gate::Close()
{
  std::unique_lock lock(mutex_);
  closed_ = true;
}

bool
Gate::IsClosed()
{
  std::unique_lock lock(mutex_);
  return closed_;
}

bool
Gate::WaitIdle(Millis aTimeout)
{
  auto until = clock_.Now() + aTimeout;
  while (true) {
    {
      std::unique_lock lock(mutex_);
      if (admission_.GetRunning() == 0 && waiters_.empty()) {
        return true;
      }
    }
    if (clock_.Now() >= until) {
      return false;
    }
    net::Runtime::Sleep(kIdlePoll);
  }
}

GateLoad
Gate::GetLoad()
{
  std::unique_lock lock(mutex_);
  return { admission_.GetRunning(),
           admission_.GetSlots(),
           admission_.EstimateWait(0) };
}

} // namespace waxwingyoke::requests
