#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include <utils/Hash.h>

using namespace waxwingyoke::utils;

TEST_CASE("ranking does not depend on the order of the input")
{
  CHECK(RankMembers("k", { "a", "b", "c" }) ==
        RankMembers("k", { "c", "a", "b" }));
}

TEST_CASE("removing a member keeps the relative order of the others")
{
  auto all = RankMembers("chunk-7", { "a", "b", "c", "d", "e" });
  auto without = all;
  std::erase(without, "c");
  CHECK(RankMembers("chunk-7", { "a", "b", "d", "e" }) == without);
}

TEST_CASE("first ranks are evenly distributed over the members")
{
  constexpr int kKeys = 8000;
  constexpr int kFairShare = kKeys / 8;
  std::vector<std::string> members;
  members.reserve(8);
  for (int i = 0; i < 8; ++i) {
    members.push_back("vm-" + std::to_string(i));
  }
  std::map<std::string, int> firsts;
  for (int i = 0; i < kKeys; ++i) {
    ++firsts[RankMembers("key-" + std::to_string(i), members).front()];
  }
  for (const auto& [member, count] : firsts) {
    CHECK(count > kFairShare * 8 / 10);
    CHECK(count < kFairShare * 12 / 10);
  }
}

TEST_CASE("unique ids differ and have 32 digits")
{
  CHECK(MakeUniqueId() != MakeUniqueId());
  CHECK(MakeUniqueId().size() == 32);
}
