#include <doctest/doctest.h>

#include <dispatch/UpstreamHealth.h>

using namespace waxwingyoke;
using namespace waxwingyoke::dispatch;
using utils::Millis;

namespace {

constexpr Millis kStart(10000);
constexpr Millis kShortSilence(1800);
constexpr Millis kLongSilence(6000);
constexpr Millis kCheckInterval(100);

/** Records a silence from kStart on, as a request that waits does. */
Millis
StaySilent(UpstreamHealth& aHealth, Millis aTime)
{
  auto now = kStart;
  for (; now < kStart + aTime; now = now + kCheckInterval) {
    aHealth.RecordSilence(kStart, now);
  }
  return now;
}

} // namespace

// Guards against a sound upstream that gets no work after a moment of silence.
TEST_CASE("silence: an upstream that goes on is used again at once")
{
  UpstreamHealth health;
  auto now = StaySilent(health, kShortSilence);
  CHECK_FALSE(health.IsUsable(now));
  health.RecordActivity(now);
  CHECK(health.IsUsable(now));
  CHECK(health.GetFailedShare() == 0);
}

// Guards against an upstream that stays silent and keeps getting work.
TEST_CASE("silence: an upstream that stays silent counts as unreachable")
{
  // Within the first ejection, after the time for which a silence excludes.
  constexpr Millis kEndOfSilence(2600);
  constexpr Millis kAfterReports(320);
  UpstreamHealth health;
  auto now = StaySilent(health, kEndOfSilence);
  CHECK(health.GetFailedShare() > 0);
  CHECK_FALSE(health.IsUsable(now + kAfterReports));
}

// Guards against a request that hangs alone and excludes a sound upstream.
TEST_CASE("silence: a request that waits while others are answered excludes "
          "nothing")
{
  UpstreamHealth health;
  health.RecordActivity(kStart + Millis(1));
  auto now = StaySilent(health, kLongSilence);
  CHECK(health.IsUsable(now));
  CHECK(health.HasBeenActiveSince(kStart));
}

// Guards against an upstream that is ejected for a silence: streams that fell
// silent a moment before the others there counted as hanging.
TEST_CASE("requests that fall silent together do not hang, one alone does")
{
  constexpr Millis kSilenceTimeout(1200);
  constexpr int kRequests = 8;
  UpstreamHealth together;
  UpstreamHealth alone;
  for (int i = 0; i < kRequests; ++i) {
    Millis lastEvent(5000 * (i + 1));
    auto chosen = lastEvent + Millis(1700);
    together.RecordActivity(lastEvent + Millis(40));
    together.RecordHang(lastEvent, kSilenceTimeout, chosen);
    alone.RecordActivity(chosen - Millis(40));
    alone.RecordHang(lastEvent, kSilenceTimeout, chosen);
  }
  CHECK(together.GetFailedShare() == 0);
  CHECK(together.IsUsable(Millis(5000 * kRequests + 1701)));
  CHECK(alone.GetFailedShare() > 0);
  CHECK_FALSE(alone.IsUsable(Millis(5000 * kRequests + 1701)));
}
