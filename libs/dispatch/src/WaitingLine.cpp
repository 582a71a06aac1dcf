#include <dispatch/WaitingLine.h>

#include <algorithm>
#include <utility>

namespace waxwingyoke::dispatch {

namespace {

bool
GoesBefore(const Waiter& aLeft, const Waiter& aRight)
{
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  // A returning caller's answer is late already. Were it first, newcomers
  // would be refused in its place and be late in turn, for good.
  if (aLeft.returned != aRight.returned) {
    return aRight.returned;
  }
  return aLeft.arrived < aRight.arrived;
}

} // namespace

WaitingLine::Ticket
WaitingLine::Join(Waiter aWaiter)
{
  auto place = std::ranges::find_if(waiters_, [&aWaiter](const Waiter& aOther) {
    return GoesBefore(aWaiter, aOther);
  });
  return waiters_.insert(place, std::move(aWaiter));
}

void
WaitingLine::Leave(Ticket aTicket)
{
  waiters_.erase(aTicket);
}

void
WaitingLine::Serve()
{
  // One that can't be placed doesn't hold up another that needs less.
  for (auto& waiter : waiters_) {
    if (waiter.tryTake && waiter.tryTake()) {
      waiter.tryTake = nullptr;
      waiter.wake();
    }
  }
}

} // namespace waxwingyoke::dispatch
