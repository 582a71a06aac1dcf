#include <doctest/doctest.h>

#include <dispatch/RefusalTracker.h>

using namespace waxwingyoke::dispatch;
using waxwingyoke::utils::Millis;

TEST_CASE("a retried request is found with the arrival of its first attempt")
{
  RefusalTracker tracker;
  CHECK_FALSE(tracker.Find(7));
  tracker.RecordRefusal({ 7, Millis(1000) }, Millis(1000));
  tracker.RecordRefusal({ 7, Millis(1800) }, Millis(1800));
  CHECK(tracker.Find(7) == Millis(1000));
}

TEST_CASE("refusals expire once their callers no longer retry")
{
  RefusalTracker tracker;
  tracker.RecordRefusal({ 7, Millis(1000) }, Millis(1000));
  tracker.RecordRefusal({ 8, Millis(60000) }, Millis(60000));
  CHECK_FALSE(tracker.Find(7));
  CHECK(tracker.Find(8));
}

TEST_CASE("each refusal is sent to other entries in two notices")
{
  RefusalTracker tracker;
  tracker.Announce({ 7, Millis(0) });
  CHECK(tracker.TakePending().size() == 1);
  tracker.Announce({ 8, Millis(0) });
  CHECK(tracker.TakePending().size() == 2);
  CHECK(tracker.TakePending().size() == 1);
  CHECK(tracker.TakePending().empty());
}
