#ifndef waxwingyoke_dispatch_WaitQueue_h
#define waxwingyoke_dispatch_WaitQueue_h

#include <cstdint>
#include <functional>
#include <list>
#include <map>

#include <dispatch/RegionRules.h>
#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** A request that waits for a slot at an upstream. */
struct QueuedRequest
{
  /** 0 is the most urgent. */
  int priority = 0;
  /** A retry of a request that was refused before. */
  bool isRetry = false;
  utils::Millis arrived;
  /** The regions that it is bound to. */
  RegionSet regions;
  /** Tries to take a slot; returns true if it got one. */
  std::function<bool()> tryPlace;
  /** Called once tryPlace has succeeded. */
  std::function<void()> onPlaced;
};

/**
 * Queue of the requests that wait for a slot: ordered by priority, then first
 * attempts before retries, then by arrival. Not thread-safe.
 */
class WaitQueue
{
public:
  using Ticket = std::list<QueuedRequest>::iterator;

  /** Inserts by order; the iterator is valid until it is passed to Remove. */
  Ticket Insert(QueuedRequest aRequest);
  void Remove(Ticket aTicket);

  /** Offers free slots to the queued requests, in order. */
  void PlaceQueued();

  bool IsEmpty() const { return queue_.empty(); }
  /** Requests that may run at an upstream where one bound to aRegions may. */
  std::int64_t CountCompeting(const RegionSet& aRegions) const;

private:
  std::list<QueuedRequest> queue_;
  /** Number of queued requests by the regions that they are bound to. */
  std::map<RegionSet, std::int64_t> sizes_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_WaitQueue_h
