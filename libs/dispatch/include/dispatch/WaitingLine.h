#ifndef waxwingyoke_dispatch_WaitingLine_h
#define waxwingyoke_dispatch_WaitingLine_h

#include <cstdint>
#include <functional>
#include <list>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** One request that waits for a place. */
struct Waiter
{
  /** 0 is the most urgent. */
  int priority = 0;
  /** It was refused before and comes back. */
  bool returned = false;
  utils::Millis arrived;
  /** Tries to take a place; true if it has one now. */
  std::function<bool()> tryTake;
  /** Runs once it has a place. */
  std::function<void()> wake;
};

/**
 * Requests that wait for a place, in the order in which they get one: by
 * priority, then those that can still be in time, then by arrival.
 */
class WaitingLine
{
public:
  using Ticket = std::list<Waiter>::iterator;

  Ticket Join(Waiter aWaiter);
  void Leave(Ticket aTicket);

  /** Gives free places to those who wait, first in line first. */
  void Serve();

  bool IsEmpty() const { return waiters_.empty(); }

private:
  std::list<Waiter> waiters_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_WaitingLine_h
