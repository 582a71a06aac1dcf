#include <dispatch/WaitingLine.h>

#include <algorithm>
#include <utility>

namespace waxwingyoke::dispatch {

namespace {

// Of one look along the line.
constexpr int kMaxMisses = 4;

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

// One that can't be placed doesn't hold up another that needs less, but after
// several there is hardly room for any: a line grows long under overload, and
// each try costs a look at all upstreams.
void
WaitingLine::Serve()
{
  int misses = 0;
  for (auto& waiter : waiters_) {
    if (!waiter.tryTake) {
      continue;
    }
    if (waiter.tryTake()) {
      waiter.tryTake = nullptr;
      waiter.wake();
    } else if (++misses == kMaxMisses) {
      return;
    }
  }
}

} // namespace waxwingyoke::dispatch
