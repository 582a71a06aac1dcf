#include <doctest/doctest.h>

#include <dispatch/RefusalMemory.h>

using namespace waxwingyoke::dispatch;
using waxwingyoke::utils::Millis;

TEST_CASE("a retried request is found with the arrival of its first attempt")
{
  RefusalMemory tracker;
  CHECK_FALSE(tracker.Find(7));
  tracker.Note({ 7, Millis(1000) }, Millis(1000));
  tracker.Note({ 7, Millis(1800) }, Millis(1800));
  CHECK(tracker.Find(7) == Millis(1000));
}

TEST_CASE("refusals expire once their callers no longer retry")
{
  RefusalMemory tracker;
  tracker.Note({ 7, Millis(1000) }, Millis(1000));
  tracker.Note({ 8, Millis(60000) }, Millis(60000));
  CHECK_FALSE(tracker.Find(7));
  CHECK(tracker.Find(8));
}

TEST_CASE("each refusal is sent to other entries in two notices")
{
  RefusalMemory tracker;
  tracker.Announce({ 7, Millis(0) });
  CHECK(tracker.TakeNews().size() == 1);
  tracker.Announce({ 8, Millis(0) });
  CHECK(tracker.TakeNews().size() == 2);
  CHECK(tracker.TakeNews().size() == 1);
  CHECK(tracker.TakeNews().empty());
}
