#include <doctest/doctest.h>

#include <dispatch/WaitQueue.h>

using namespace waxwingyoke;
using namespace waxwingyoke::dispatch;

namespace {

QueuedRequest
MakeRequest(const RegionSet& aRegions, int& aTries, bool aHasRoom)
{
  QueuedRequest request;
  request.regions = aRegions;
  request.tryPlace = [&aTries, aHasRoom] {
    ++aTries;
    return aHasRoom;
  };
  request.onPlaced = [] {};
  return request;
}

} // namespace

// Guards against requests that wait although an upstream has room for them,
// because many that are bound to a full region wait ahead.
TEST_CASE("wait queue: requests bound to a full region don't hold up others")
{
  const RegionSet full{ { "r1" } };
  const RegionSet free{ { "r2" } };
  WaitQueue queue;
  int failed = 0;
  int bound = 0;
  int unbound = 0;
  for (int i = 0; i < 20; ++i) {
    queue.Insert(MakeRequest(full, failed, false));
  }
  queue.Insert(MakeRequest(free, bound, true));
  queue.Insert(MakeRequest({}, unbound, true));
  queue.PlaceQueued();
  CHECK(bound == 1);
  CHECK(unbound == 1);
  // Each try evaluates all upstreams.
  CHECK(failed == 4);
  CHECK(queue.CountCompeting(full) == 21);
  CHECK(queue.CountCompeting(free) == 2);
  CHECK(queue.CountCompeting({}) == 22);
}

TEST_CASE("wait queue: a pass ends after a few failed tries")
{
  WaitQueue queue;
  int failed = 0;
  int last = 0;
  for (int i = 0; i < 20; ++i) {
    queue.Insert(MakeRequest({}, failed, false));
  }
  auto ticket = queue.Insert(MakeRequest({}, last, true));
  queue.PlaceQueued();
  CHECK(failed == 4);
  CHECK(last == 0);
  queue.Remove(ticket);
  CHECK(queue.CountCompeting({}) == 20);
}
