#include <doctest/doctest.h>

#include <HealingTurns.h>

using namespace waxwingyoke::membership;

TEST_CASE("a stale node asks the log within a few tries, whatever its seed")
{
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    HealingTurns turns(seed);
    int sinceLog = 0;
    for (int i = 0; i < 40; ++i) {
      sinceLog = turns.TakeLog() ? 0 : sinceLog + 1;
      REQUIRE(sinceLog < static_cast<int>(HealingTurns::kLogShare));
    }
  }
}
