#include <doctest/doctest.h>

#include <utils/Backoff.h>

using namespace waxwingyoke::utils;

TEST_CASE("the delay doubles up to the maximum and restarts after Reset")
{
  Backoff backoff(Millis(40), Millis(100));
  CHECK(backoff.NextDelay() == Millis(40));
  CHECK(backoff.NextDelay() == Millis(80));
  CHECK(backoff.NextDelay() == Millis(100));
  CHECK(backoff.NextDelay() == Millis(100));
  backoff.Reset();
  CHECK(backoff.NextDelay() == Millis(40));
}
