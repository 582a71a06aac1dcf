#include <doctest/doctest.h>

#include <dispatch/CrashTracker.h>

using namespace waxwingyoke::dispatch;
using waxwingyoke::utils::Millis;

TEST_CASE("a request is quarantined after two upstreams crashed while it ran")
{
  CrashTracker tracker;
  CHECK(tracker.RecordCrash({ 7, 1 }, Millis(0)));
  CHECK_FALSE(tracker.IsQuarantined(7, Millis(0)));
  CHECK_FALSE(tracker.RecordCrash({ 7, 1 }, Millis(10)));
  CHECK_FALSE(tracker.IsQuarantined(7, Millis(10)));
  CHECK(tracker.RecordCrash({ 7, 2 }, Millis(20)));
  CHECK(tracker.IsQuarantined(7, Millis(20)));
  CHECK_FALSE(tracker.IsQuarantined(8, Millis(20)));
}

TEST_CASE("a quarantine expires, and a completed request is cleared")
{
  CrashTracker tracker;
  tracker.RecordCrash({ 7, 1 }, Millis(0));
  tracker.RecordCrash({ 7, 2 }, Millis(0));
  CHECK_FALSE(tracker.IsQuarantined(7, Millis(120000)));
  tracker.Clear(7);
  CHECK_FALSE(tracker.IsQuarantined(7, Millis(0)));
}

TEST_CASE("only crashes since the given time are listed for other entries")
{
  CrashTracker tracker;
  tracker.RecordCrash({ 7, 1 }, Millis(0));
  tracker.RecordCrash({ 8, 1 }, Millis(5000));
  CHECK(tracker.ListSince(Millis(4000)).size() == 1);
  CHECK(tracker.ListSince(Millis(0)).size() == 2);
}
