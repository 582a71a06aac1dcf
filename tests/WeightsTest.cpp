// Bursts of new weights under faults: whatever fails, no engine is ordered to
// load a partial or mixed version, the origin gives no more than four copies,
// and the burst ends.

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <bed/Bed.h>

using namespace waxwingyoke;
using namespace waxwingyoke::bed;

namespace {

using utils::Millis;

constexpr Millis kPatience(90000);
constexpr std::uint64_t kBytes = 2 << 20;
constexpr std::uint32_t kChunkBytes = 64 << 10;
constexpr double kMaxOriginCopies = 4;
constexpr const char* kProfile = "summaries";

BedOptions
MakeOptions()
{
  BedOptions options;
  options.sites = { { "budapest-1", "kozep-mo", 0, 3, 0 },
                    { "debrecen-1", "alfold-east", 0, 3, 0 },
                    { "pecs-1", "dunantul-s", 0, 2, 0 } };
  options.settings = "[weights]\nlink_bytes_per_s = 1048576\n";
  return options;
}

// Versions share half of their chunks, as fine-tuned ones do. The store counts
// a shared chunk for its newest version.
constexpr std::uint32_t kHalf = 50;

std::string
MakeVersion(Bed& aBed,
            std::uint64_t aSeed,
            std::uint32_t aSharedPercent = kHalf)
{
  fakes::VersionSpec spec;
  spec.set_model("summaries");
  spec.set_bytes(kBytes);
  spec.set_chunk_bytes(kChunkBytes);
  spec.set_seed(aSeed);
  spec.set_base_seed(1);
  spec.set_shared_percent(aSharedPercent);
  utils::Error reason;
  auto made = aBed.MakeVersion(spec, reason);
  REQUIRE_MESSAGE(made, reason.detail);
  return made->version();
}

schema::ProfileChange
MakeChange(const std::string& aVersion, std::uint64_t aReplaces)
{
  schema::ProfileChange change;
  change.set_author("test");
  change.set_kind(aReplaces == 0 ? schema::PUBLISH : schema::CHANGE);
  change.set_replaces_revision(aReplaces);
  auto& profile = *change.mutable_profile();
  profile.set_name(kProfile);
  profile.set_model("summaries");
  profile.set_version(aVersion);
  profile.mutable_vms()->set_group(kEngineGroup);
  profile.mutable_switch_over()->set_max_unavailable(1);
  profile.mutable_switch_over()->set_min_ready(2);
  return change;
}

/** Appends a change; the revision that it makes where it is accepted. */
std::uint64_t
Publish(Bed& aBed, const std::string& aVersion, std::uint64_t aReplaces = 0)
{
  utils::Error reason;
  auto offset = aBed.Append(MakeChange(aVersion, aReplaces), reason);
  REQUIRE_MESSAGE(offset, reason.detail);
  return *offset + 1;
}

double
CountOriginCopies(Bed& aBed, const std::string& aVersion)
{
  std::uint64_t served = 0;
  for (auto service : { Service::Store, Service::Origin }) {
    auto counters = aBed.GetCounters(service);
    REQUIRE(counters);
    for (const auto& row : counters->versions()) {
      served += row.version() == aVersion ? row.served() : 0;
    }
  }
  return static_cast<double>(served) / static_cast<double>(kBytes);
}

bool
HoldsEverywhere(Bed& aBed,
                const std::vector<BedNode*>& aSides,
                const std::string& aVersion)
{
  return std::ranges::all_of(aSides, [&](BedNode* aSide) {
    auto state = aBed.GetEngineState(*aSide);
    return state && state->version() == aVersion && !state->loading();
  });
}

void
CheckEnds(Bed& aBed,
          const std::vector<BedNode*>& aSides,
          const std::string& aVersion)
{
  CHECK(Bed::WaitFor([&] { return HoldsEverywhere(aBed, aSides, aVersion); },
                     kPatience));
  CHECK(aBed.GetViolations().empty());
  CHECK(CountOriginCopies(aBed, aVersion) <= kMaxOriginCopies);
}

/** Waits until aShare of the version's chunks are in all VMs together. */
void
WaitServed(Bed& aBed, const std::string& aVersion, double aCopies)
{
  REQUIRE(Bed::WaitFor(
    [&] { return CountOriginCopies(aBed, aVersion) >= aCopies; }, kPatience));
}

std::vector<BedNode*>
ListRegion(Bed& aBed, const std::string& aRegion)
{
  auto sides = aBed.GetEngineSides();
  std::erase_if(sides,
                [&](BedNode* aSide) { return aSide->vm.region() != aRegion; });
  return sides;
}

/** The number of engines that serve nothing now. */
std::size_t
CountIdle(Bed& aBed, const std::vector<BedNode*>& aSides)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aSides, [&](BedNode* aSide) {
      auto state = aBed.GetEngineState(*aSide);
      return !state || state->loading() || state->version().empty();
    }));
}

} // namespace

TEST_CASE("sources and links that corrupt, cut and stall chunks are survived")
{
  auto options = MakeOptions();
  options.proxied = true;
  fakes::Faults source;
  source.mutable_store()->set_bytes_per_s(4 << 20);
  source.mutable_store()->set_corrupt_per_mille(30);
  source.mutable_store()->set_truncate_per_mille(20);
  source.mutable_store()->set_stall_per_mille(10);
  options.serviceFaults[Service::Store] = source;
  options.serviceFaults[Service::Origin] = source;
  RunWithBed(options, [](Bed& aBed) {
    fakes::LinkFaults garbled;
    garbled.set_corrupt_per_mille(5);
    garbled.set_cut_answers_per_mille(2);
    for (auto* side : aBed.GetEngineSides()) {
      REQUIRE(aBed.SetLink(*side, Link::Control, garbled));
    }
    auto version = MakeVersion(aBed, 2);
    Publish(aBed, version);
    CheckEnds(aBed, aBed.GetEngineSides(), version);
  });
}

TEST_CASE("half a region dies midway and the rest of it goes on")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    auto version = MakeVersion(aBed, 2);
    Publish(aBed, version);
    WaitServed(aBed, version, 0.5);
    auto region = ListRegion(aBed, "kozep-mo");
    aBed.Kill(*region[0]);
    aBed.Kill(*region[1]);
    auto survivors = aBed.GetEngineSides();
    std::erase_if(survivors, [&](BedNode* aSide) {
      return aSide == region[0] || aSide == region[1];
    });
    CheckEnds(aBed, survivors, version);
    // A replaced VM is brought up from those that hold the version.
    utils::Error reason;
    REQUIRE(aBed.StartNode(*region[0], reason));
    survivors.push_back(region[0]);
    CheckEnds(aBed, survivors, version);
  });
}

TEST_CASE("with one copy out the origin may die")
{
  auto options = MakeOptions();
  options.startDaemons = false;
  RunWithBed(options, [](Bed& aBed) {
    utils::Error reason;
    auto first = ListRegion(aBed, "kozep-mo");
    for (auto* side : first) {
      REQUIRE(aBed.StartNode(*side, reason));
    }
    auto version = MakeVersion(aBed, 2);
    Publish(aBed, version);
    CheckEnds(aBed, first, version);
    fakes::Faults dead;
    dead.set_outage(true);
    REQUIRE(aBed.SetFaults(Service::Store, dead));
    REQUIRE(aBed.SetFaults(Service::Origin, dead));
    auto all = aBed.GetEngineSides();
    for (auto* side : all) {
      if (side->process == nullptr) {
        REQUIRE(aBed.StartNode(*side, reason));
      }
    }
    CheckEnds(aBed, all, version);
    CHECK(CountOriginCopies(aBed, version) <= 1.2);
  });
}

TEST_CASE("a region that is cut off for a while catches up")
{
  auto options = MakeOptions();
  options.proxied = true;
  RunWithBed(options, [](Bed& aBed) {
    auto version = MakeVersion(aBed, 2);
    Publish(aBed, version);
    WaitServed(aBed, version, 0.5);
    auto region = ListRegion(aBed, "alfold-east");
    fakes::LinkFaults cut;
    cut.set_hold_to_target(true);
    cut.set_hold_to_client(true);
    for (auto* side : region) {
      REQUIRE(aBed.SetLink(*side, Link::Control, cut));
    }
    auto others = aBed.GetEngineSides();
    std::erase_if(others, [&](BedNode* aSide) {
      return aSide->vm.region() == "alfold-east";
    });
    CheckEnds(aBed, others, version);
    for (auto* side : region) {
      REQUIRE(aBed.SetLink(*side, Link::Control, {}));
    }
    CheckEnds(aBed, aBed.GetEngineSides(), version);
  });
}

TEST_CASE("a side that wakes with an old order does nothing on it")
{
  auto options = MakeOptions();
  options.engineFaults.mutable_engine()->set_load_ms(1500);
  RunWithBed(options, [](Bed& aBed) {
    auto first = MakeVersion(aBed, 2);
    auto second = MakeVersion(aBed, 3);
    auto sides = aBed.GetEngineSides();
    auto revision = Publish(aBed, first);
    auto* sleeper = sides.front();
    REQUIRE(Bed::WaitFor(
      [&] {
        auto state = aBed.GetEngineState(*sleeper);
        return state && state->loading();
      },
      kPatience));
    aBed.Pause(*sleeper);
    auto next = Publish(aBed, second, revision);
    auto others = sides;
    std::erase(others, sleeper);
    CheckEnds(aBed, others, second);
    aBed.Resume(*sleeper);
    CheckEnds(aBed, sides, second);
    CHECK(aBed.GetEngineState(*sleeper)->fencing() == next);
  });
}

TEST_CASE("engines that ignore fencing and lose answers end with the version")
{
  auto options = MakeOptions();
  options.sideLines = "fencing = false\n";
  options.engineFaults.mutable_engine()->set_ignore_fencing(true);
  options.engineFaults.set_lost_answers_per_mille(300);
  RunWithBed(options, [](Bed& aBed) {
    auto first = MakeVersion(aBed, 2);
    auto second = MakeVersion(aBed, 3);
    auto sides = aBed.GetEngineSides();
    auto revision = Publish(aBed, first);
    CheckEnds(aBed, sides, first);
    Publish(aBed, second, revision);
    CheckEnds(aBed, sides, second);
  });
}

TEST_CASE("of two operators' changes at once every VM serves the one accepted")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    auto first = MakeVersion(aBed, 2);
    auto sides = aBed.GetEngineSides();
    auto revision = Publish(aBed, first);
    WaitServed(aBed, first, 0.5);
    auto winner = MakeVersion(aBed, 3);
    auto loser = MakeVersion(aBed, 4, 0);
    Publish(aBed, winner, revision);
    Publish(aBed, loser, revision);
    CheckEnds(aBed, sides, winner);
    CHECK(CountOriginCopies(aBed, loser) == 0);
  });
}

TEST_CASE("a switch-over takes out one VM at a time, and a dead one is passed")
{
  auto options = MakeOptions();
  options.engineFaults.mutable_engine()->set_load_ms(300);
  RunWithBed(options, [](Bed& aBed) {
    auto first = MakeVersion(aBed, 2);
    auto second = MakeVersion(aBed, 3);
    auto sides = aBed.GetEngineSides();
    auto revision = Publish(aBed, first);
    CheckEnds(aBed, sides, first);
    Publish(aBed, second, revision);
    std::size_t mostIdle = 0;
    BedNode* killed = nullptr;
    bool ended = Bed::WaitFor(
      [&] {
        mostIdle = std::max(mostIdle, CountIdle(aBed, sides));
        if (killed == nullptr && mostIdle > 0) {
          auto busy = std::ranges::find_if(sides, [&](BedNode* aSide) {
            return CountIdle(aBed, { aSide }) == 1;
          });
          if (busy != sides.end()) {
            killed = *busy;
            aBed.Kill(*killed);
            aBed.RemoveVm(*killed);
            sides.erase(busy);
          }
        }
        return HoldsEverywhere(aBed, sides, second);
      },
      kPatience);
    CHECK(ended);
    CHECK(killed != nullptr);
    CHECK(mostIdle <= 1);
    CHECK(aBed.GetViolations().empty());
  });
}
