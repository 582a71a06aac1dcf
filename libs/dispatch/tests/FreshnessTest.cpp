#include <doctest/doctest.h>

#include <dispatch/Freshness.h>

using namespace waxwingyoke::dispatch;
using waxwingyoke::utils::Millis;

TEST_CASE("a configuration is trusted less as it ages")
{
  FreshnessBounds bounds{ Millis(2000), Millis(5000) };
  CHECK(JudgeAge(Millis(0), bounds) == Trust::Full);
  CHECK(JudgeAge(Millis(2000), bounds) == Trust::Full);
  CHECK(JudgeAge(Millis(2500), bounds) == Trust::Allowed);
  CHECK(JudgeAge(Millis(4000), bounds) == Trust::Allowed);
}

TEST_CASE("no key is trusted up to the bound of its revocation")
{
  FreshnessBounds bounds{ Millis(2000), Millis(5000) };
  CHECK(JudgeAge(Millis(4500), bounds) == Trust::KeylessOnly);
  CHECK(JudgeAge(Millis(5000), bounds) == Trust::KeylessOnly);
  CHECK(JudgeAge(Millis(std::int64_t{ 1 } << 40), bounds) ==
        Trust::KeylessOnly);
}
