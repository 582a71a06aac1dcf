#include <doctest/doctest.h>

#include <dispatch/Freshness.h>

using namespace waxwingyoke::dispatch;
using waxwingyoke::utils::Millis;

TEST_CASE("a configuration older than the apply bound may not reject requests")
{
  FreshnessBounds bounds{ Millis(2000), Millis(5000) };
  CHECK(ClassifyAge(Millis(0), bounds) == Trust::Full);
  CHECK(ClassifyAge(Millis(2000), bounds) == Trust::Full);
  CHECK(ClassifyAge(Millis(2500), bounds) == Trust::AcceptOnly);
  CHECK(ClassifyAge(Millis(4000), bounds) == Trust::AcceptOnly);
}

TEST_CASE("keys are not accepted from a margin before the revocation bound on")
{
  FreshnessBounds bounds{ Millis(2000), Millis(5000) };
  CHECK(ClassifyAge(Millis(4500), bounds) == Trust::KeylessOnly);
  CHECK(ClassifyAge(Millis(5000), bounds) == Trust::KeylessOnly);
  CHECK(ClassifyAge(Millis(std::int64_t{ 1 } << 40), bounds) ==
        Trust::KeylessOnly);
}
