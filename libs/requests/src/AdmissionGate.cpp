#include "AdmissionGate.h"

#include <mutex>

#include <net/Runtime.h>

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

// How often a waiting request checks for cancellation, deadline and pause.
constexpr Millis kCancelPollInterval(100);
constexpr Millis kIdlePollInterval(10);

} // namespace

AdmissionGate::AdmissionGate(std::size_t aSlots, std::size_t aMaxWaiting)
  : admission_(aSlots, aMaxWaiting)
{
}

bool
AdmissionGate::RefuseClosed(utils::Error& aReason) const
{
  if (closed_) {
    aReason.Set(ErrorKind::Leaving, "this side is draining");
  } else if (paused_) {
    aReason.Set(ErrorKind::StaleRevision,
                "the upstream is switching to another version");
  }
  return closed_ || paused_;
}

bool
AdmissionGate::Acquire(SlotRequest& aRequest,
                       const std::function<bool()>& aIsCancelled,
                       utils::Error& aReason)
{
  std::unique_lock lock(mutex_);
  if (RefuseClosed(aReason)) {
    return false;
  }
  aRequest.ticket = nextTicket_++;
  auto result = admission_.Submit(aRequest, clock_.Now());
  if (result.shed) {
    Shed(*result.shed);
  }
  if (result.decision == AdmissionDecision::Refused) {
    aReason.Set(ErrorKind::Overloaded,
                "the queue is full or the deadline can't be met");
    return false;
  }
  if (result.decision == AdmissionDecision::Run) {
    return true;
  }
  return Wait(lock, aRequest, aIsCancelled, aReason);
}

bool
AdmissionGate::Wait(std::unique_lock<boost::fibers::mutex>& aLock,
                    const SlotRequest& aRequest,
                    const std::function<bool()>& aIsCancelled,
                    utils::Error& aReason)
{
  auto waiter = std::make_shared<Waiter>();
  waiters_[aRequest.ticket] = waiter;
  // The queue can be non-empty while slots are free: a waiting suspect does
  // not run before the running one ends. So this request may start at once.
  AdmitWaiting();
  while (!waiter->admitted && !waiter->refused) {
    bool isLate = clock_.Now() >= aRequest.deadline;
    if (isLate || paused_ || aIsCancelled()) {
      admission_.Cancel(aRequest.ticket);
      break;
    }
    waiter->changed.wait_for(aLock, kCancelPollInterval.ToChrono());
  }
  waiters_.erase(aRequest.ticket);
  if (waiter->admitted) {
    return true;
  }
  if (!waiter->refused && !RefuseClosed(aReason)) {
    aReason.Set(ErrorKind::Overloaded,
                "no slot before the deadline or the cancellation");
  } else if (waiter->refused) {
    aReason.Set(
      ErrorKind::Overloaded,
      "shed: the deadline can't be met, or another request ranks higher");
  }
  return false;
}

void
AdmissionGate::Shed(std::uint64_t aTicket)
{
  auto it = waiters_.find(aTicket);
  if (it != waiters_.end()) {
    it->second->refused = true;
    it->second->changed.notify_all();
  }
}

void
AdmissionGate::AdmitWaiting()
{
  if (paused_) {
    return;
  }
  while (auto ticket = admission_.TakeInfeasible(clock_.Now())) {
    Shed(*ticket);
  }
  while (auto ticket = admission_.TakeNext(clock_.Now())) {
    auto it = waiters_.find(*ticket);
    if (it != waiters_.end()) {
      it->second->admitted = true;
      it->second->changed.notify_all();
    }
  }
}

void
AdmissionGate::Release(std::uint64_t aTicket)
{
  std::unique_lock lock(mutex_);
  admission_.Release(aTicket, clock_.Now());
  AdmitWaiting();
}

void
AdmissionGate::Pause()
{
  std::unique_lock lock(mutex_);
  paused_ = true;
}

void
AdmissionGate::Resume()
{
  std::unique_lock lock(mutex_);
  paused_ = false;
  AdmitWaiting();
}

void
AdmissionGate::Close()
{
  std::unique_lock lock(mutex_);
  closed_ = true;
}

bool
AdmissionGate::IsClosed()
{
  std::unique_lock lock(mutex_);
  return closed_;
}

bool
AdmissionGate::WaitIdle(Millis aTimeout)
{
  auto endTime = clock_.Now() + aTimeout;
  while (true) {
    {
      std::unique_lock lock(mutex_);
      if (admission_.GetRunning() == 0 && waiters_.empty()) {
        return true;
      }
    }
    if (clock_.Now() >= endTime) {
      return false;
    }
    net::Runtime::Sleep(kIdlePollInterval);
  }
}

AdmissionLoad
AdmissionGate::GetLoad()
{
  std::unique_lock lock(mutex_);
  return { admission_.GetRunning(),
           admission_.GetSlots(),
           admission_.EstimateWait(0) };
}

} // namespace waxwingyoke::requests
