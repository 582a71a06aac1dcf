#include <dispatch/WaitingLine.h>

#include <algorithm>
#include <utility>

namespace waxwingyoke::dispatch {

namespace {

// Per pass over the queue.
constexpr int kMaxFailedTries = 4;

bool
HasPrecedence(const Waiter& aLeft, const Waiter& aRight)
{
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  // A retried request has already missed its objective. If it went first, new
  // requests would be refused instead and become late retries themselves, and
  // the overload would not end.
  if (aLeft.returned != aRight.returned) {
    return aRight.returned;
  }
  return aLeft.arrived < aRight.arrived;
}

} // namespace

WaitingLine::Ticket
WaitingLine::Join(Waiter aRequest)
{
  auto position =
    std::ranges::find_if(queue_, [&aRequest](const Waiter& aOther) {
      return HasPrecedence(aRequest, aOther);
    });
  return queue_.insert(position, std::move(aRequest));
}

void
WaitingLine::Leave(Ticket aTicket)
{
  queue_.erase(aTicket);
}

// A request that cannot be placed does not block later ones that need less. The
// pass ends after several failed tries, as then hardly any slot is free: the
// queue grows long under overload, and each try evaluates all upstreams.
void
WaitingLine::Serve()
{
  int failedTries = 0;
  for (auto& queued : queue_) {
    if (!queued.tryTake) {
      continue;
    }
    if (queued.tryTake()) {
      queued.tryTake = nullptr;
      queued.wake();
    } else if (++failedTries == kMaxFailedTries) {
      return;
    }
  }
}

} // namespace waxwingyoke::dispatch
