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

TEST_CASE("the tree has one top, few children a node and few levels")
{
  for (std::size_t count : { 1, 2, 16, 160, 940 }) {
    CAPTURE(count);
    auto members = MakeMembers(count);
    std::map<std::string, std::size_t> children;
    std::map<std::string, std::string> parents;
    std::size_t tops = 0;
    std::size_t relays = 0;
    for (const auto& [id, member] : members) {
      auto place = FindPlace(members, id, kRelays, SuspectNone);
      tops += place.parent.empty() ? 1 : 0;
      relays += place.relay ? 1 : 0;
      ++children[place.parent];
      parents[id] = place.parent;
    }
    CHECK(tops == 1);
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

TEST_CASE("nodes that suspect different VMs still form no cycle")
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
      parents[id] = FindPlace(members, id, kRelays, [&](const auto& aVm) {
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

TEST_CASE("a node whose betters all fail becomes a relay itself")
{
  auto members = MakeMembers(140);
  for (const auto& [id, member] : members) {
    auto alone =
      FindPlace(members, id, kRelays, [](const std::string&) { return true; });
    CHECK(alone.relay);
    CHECK(alone.parent.empty());
  }
}

TEST_CASE("a leaving relay gives its place to the next and keeps a parent")
{
  auto members = MakeMembers(140);
  auto isRelay = [&](const std::string& aVm) {
    return FindPlace(members, aVm, kRelays, SuspectNone).relay;
  };
  auto found = std::ranges::find_if(
    members, [&](const auto& aEntry) { return isRelay(aEntry.first); });
  REQUIRE(found != members.end());
  found->second.vm.set_leaving(true);
  auto place = FindPlace(members, found->first, kRelays, SuspectNone);
  CHECK_FALSE(place.relay);
  CHECK_FALSE(place.parent.empty());
  auto relays = std::ranges::count_if(
    members, [&](const auto& aEntry) { return isRelay(aEntry.first); });
  CHECK(relays == kRelays * kDataCentres);
}
