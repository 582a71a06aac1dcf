#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

#include <Tree.h>

using namespace waxwingyoke;
using namespace waxwingyoke::membership;

namespace {

constexpr std::size_t kRelays = 2;
constexpr std::size_t kDataCentres = 7;

using Members = std::map<std::string, Member>;

Members
MakeMembers(std::size_t aCount)
{
  Members members;
  for (std::size_t i = 0; i < aCount; ++i) {
    auto id = "vm-" + std::to_string(i);
    members[id].vm.set_id(id);
    members[id].vm.set_data_centre("dc-" + std::to_string(i % kDataCentres));
  }
  return members;
}

bool
SuspectNone(const std::string&)
{
  return false;
}

} // namespace

TEST_CASE("the tree has one root, a bounded fan-out and a bounded depth")
{
  for (std::size_t count : { 1, 2, 16, 160, 940 }) {
    CAPTURE(count);
    auto members = MakeMembers(count);
    std::map<std::string, std::size_t> children;
    std::map<std::string, std::string> parents;
    std::size_t roots = 0;
    std::size_t relays = 0;
    for (const auto& [id, member] : members) {
      auto position = FindTreePosition(members, id, kRelays, SuspectNone);
      roots += position.parent.empty() ? 1 : 0;
      relays += position.relay ? 1 : 0;
      ++children[position.parent];
      parents[id] = position.parent;
    }
    CHECK(roots == 1);
    CHECK(relays <= kRelays * kDataCentres);
    children.erase("");
    for (const auto& [id, number] : children) {
      CHECK(number <= 2 * kTreeFanOut);
    }
    for (const auto& [id, member] : members) {
      std::size_t levels = 0;
      for (auto at = id; !parents[at].empty(); at = parents[at]) {
        ++levels;
      }
      CHECK(levels <= 10);
    }
  }
}

TEST_CASE("nodes that suspect different VMs form no cycle")
{
  constexpr std::size_t kCount = 60;
  auto members = MakeMembers(kCount);
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::map<std::string, std::string> parents;
    for (const auto& [id, member] : members) {
      std::set<std::string> suspects;
      for (std::size_t i = 0; i < kCount / 2; ++i) {
        suspects.insert("vm-" + std::to_string(random() % kCount));
      }
      parents[id] =
        FindTreePosition(members, id, kRelays, [&](const auto& aVm) {
          return suspects.contains(aVm);
        }).parent;
    }
    for (const auto& [id, member] : members) {
      std::size_t steps = 0;
      auto at = id;
      for (; !at.empty() && steps <= kCount; ++steps) {
        at = parents[at];
      }
      CHECK(at.empty());
    }
  }
}

TEST_CASE("a node that suspects all others becomes a relay")
{
  auto members = MakeMembers(140);
  for (const auto& [id, member] : members) {
    auto alone = FindTreePosition(
      members, id, kRelays, [](const std::string&) { return true; });
    CHECK(alone.relay);
    CHECK(alone.parent.empty());
  }
}

TEST_CASE("a leaving relay is replaced by the next rank and keeps a parent")
{
  auto members = MakeMembers(140);
  auto isRelay = [&](const std::string& aVm) {
    return FindTreePosition(members, aVm, kRelays, SuspectNone).relay;
  };
  auto found = std::ranges::find_if(
    members, [&](const auto& aEntry) { return isRelay(aEntry.first); });
  REQUIRE(found != members.end());
  found->second.vm.set_leaving(true);
  auto position = FindTreePosition(members, found->first, kRelays, SuspectNone);
  CHECK_FALSE(position.relay);
  CHECK_FALSE(position.parent.empty());
  auto relays = std::ranges::count_if(
    members, [&](const auto& aEntry) { return isRelay(aEntry.first); });
  CHECK(relays == kRelays * kDataCentres);
}
