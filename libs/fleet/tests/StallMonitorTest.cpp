#include <doctest/doctest.h>

#include <StallMonitor.h>

using namespace waxwingyoke;
using utils::Millis;

TEST_CASE("a stall is the time beyond the interval between two checks")
{
  Millis now(1000);
  fleet::StallMonitor monitor(Millis(250),
                              utils::Clock([&now] { return now; }));
  now = now + Millis(300);
  CHECK_FALSE(monitor.Check());
  now = now + Millis(4250);
  CHECK(monitor.Check() == Millis(4000));
  now = now + Millis(250);
  CHECK_FALSE(monitor.Check());
}
