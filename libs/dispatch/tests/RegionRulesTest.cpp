#include <doctest/doctest.h>

#include <dispatch/RegionRules.h>

using namespace waxwingyoke;
using namespace waxwingyoke::dispatch;

// Guards against a bound request that runs outside of the regions that both its
// route and its organisation allow.
TEST_CASE("regions: the route's and the organisation's are combined")
{
  using List = std::optional<platform::RegionList>;
  struct Row
  {
    List route;
    List organisation;
    RegionSet combined;
  };
  const platform::RegionList none;
  const std::set<std::string> closed;
  for (const auto& row : {
         Row{ std::nullopt, std::nullopt, std::nullopt },
         Row{ { { "r1", "r2", "r1" } }, std::nullopt, { { "r1", "r2" } } },
         Row{ { { "r1", "r2" } }, { { "r3", "r2" } }, { { "r2" } } },
         Row{ { { "r1" } }, { { "r2" } }, closed },
         Row{ none, std::nullopt, closed },
         Row{ none, { { "r1" } }, closed },
       }) {
    auto combined =
      CombineRegions(CombineRegions({}, row.route), row.organisation);
    CHECK(combined == row.combined);
    CHECK(CombineRegions(CombineRegions({}, row.organisation), row.route) ==
          row.combined);
    CHECK(IsClosed(combined) == (row.combined == RegionSet(closed)));
  }
}

TEST_CASE("regions: where a bound request may run")
{
  RegionSet bound{ { "", "r1" } };
  CHECK(IsAllowed(bound, "r1"));
  CHECK_FALSE(IsAllowed(bound, "r2"));
  // A data centre without a region isn't allowed, whatever the list names.
  CHECK_FALSE(IsAllowed(bound, ""));
  CHECK(IsAllowed({}, ""));
  CHECK(Overlap({}, bound));
  CHECK(Overlap(bound, RegionSet{ { "r1", "r2" } }));
  CHECK_FALSE(Overlap(bound, RegionSet{ { "r2" } }));
  CHECK(JoinRegions({}).empty());
  CHECK(JoinRegions(RegionSet{ { "r2", "r1" } }) == "r1,r2");
}
