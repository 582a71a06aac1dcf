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
  ++sizes_[aRequest.regions];
  auto position =
    std::ranges::find_if(queue_, [&aRequest](const QueuedRequest& aOther) {
      return HasPrecedence(aRequest, aOther);
    });
  return queue_.insert(position, std::move(aRequest));
}

void
WaitQueue::Remove(Ticket aTicket)
{
  auto size = sizes_.find(aTicket->regions);
  if (--size->second == 0) {
    sizes_.erase(size);
  }
  queue_.erase(aTicket);
}

// A request that cannot be placed does not block later ones that need less. The
// pass ends after several failed tries, as then hardly any slot is free: the
// queue grows long under overload, and each try evaluates all upstreams. Tries
// are counted for each set of regions, as another region may have free slots.
void
WaitQueue::PlaceQueued()
{
  std::map<RegionSet, int> failedTries;
  std::size_t fullSets = 0;
  for (auto& queued : queue_) {
    if (!queued.tryPlace) {
      continue;
    }
    auto& failed = failedTries[queued.regions];
    if (failed == kMaxFailedTries) {
      continue;
    }
    if (queued.tryPlace()) {
      queued.tryPlace = nullptr;
      queued.onPlaced();
    } else if (++failed == kMaxFailedTries && ++fullSets == sizes_.size()) {
      return;
    }
  }
}

std::int64_t
WaitQueue::CountCompeting(const RegionSet& aRegions) const
{
  std::int64_t count = 0;
  for (const auto& [regions, size] : sizes_) {
    count += Overlap(regions, aRegions) ? size : 0;
  }
  return count;
}

} // namespace waxwingyoke::dispatch
