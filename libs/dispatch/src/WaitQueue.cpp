#include <dispatch/WaitQueue.h>

#include <algorithm>
#include <utility>

namespace waxwingyoke::dispatch {

namespace {

// Per pass over the queue.
constexpr int kMaxFailedTries = 4;

bool
HasPrecedence(const QueuedRequest& aLeft, const QueuedRequest& aRight)
{
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  // A retried request has already missed its objective. If it went first, new
  // requests would be refused instead and become late retries themselves, and
  // the overload would not end.
  if (aLeft.isRetry != aRight.isRetry) {
    return aRight.isRetry;
  }
  return aLeft.arrived < aRight.arrived;
}

} // namespace

WaitQueue::Ticket
WaitQueue::Insert(QueuedRequest aRequest)
{
  auto position =
    std::ranges::find_if(queue_, [&aRequest](const QueuedRequest& aOther) {
      return HasPrecedence(aRequest, aOther);
    });
  return queue_.insert(position, std::move(aRequest));
}

void
WaitQueue::Remove(Ticket aTicket)
{
  queue_.erase(aTicket);
}

// A request that cannot be placed does not block later ones that need less. The
// pass ends after several failed tries, as then hardly any slot is free: the
// queue grows long under overload, and each try evaluates all upstreams.
void
WaitQueue::PlaceQueued()
{
  int failedTries = 0;
  for (auto& queued : queue_) {
    if (!queued.tryPlace) {
      continue;
    }
    if (queued.tryPlace()) {
      queued.tryPlace = nullptr;
      queued.onPlaced();
    } else if (++failedTries == kMaxFailedTries) {
      return;
    }
  }
}

} // namespace waxwingyoke::dispatch
