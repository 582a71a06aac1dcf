#include <doctest/doctest.h>

#include <CallerClock.h>

using waxwingyoke::fleet::CallerClock;
using waxwingyoke::utils::Millis;

TEST_CASE("a caller with less patience than others comes back")
{
  CallerClock clock;
  CHECK_FALSE(clock.Read("route", Millis(6000)).returned);
  auto time = clock.Read("route", Millis(5200));
  CHECK(time.returned);
  CHECK(time.elapsed == Millis(800));
  CHECK_FALSE(clock.Read("route", Millis(5990)).returned);
  CHECK_FALSE(clock.Read("other", Millis(1000)).returned);
}

TEST_CASE("a caller that does not say how long it waits is new")
{
  CallerClock clock;
  clock.Read("route", Millis(6000));
  CHECK_FALSE(clock.Read("route", std::nullopt).returned);
}
