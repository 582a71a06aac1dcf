#include <doctest/doctest.h>

#include <ResyncRotation.h>

using namespace waxwingyoke::membership;

TEST_CASE("a stale node reads the log every few attempts, for any seed")
{
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    ResyncRotation rotation(seed);
    int sinceLog = 0;
    for (int i = 0; i < 40; ++i) {
      sinceLog = rotation.PickLog() ? 0 : sinceLog + 1;
      REQUIRE(sinceLog < static_cast<int>(ResyncRotation::kLogInterval));
    }
  }
}
