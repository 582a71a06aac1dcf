// Distribution of new weights under faults: no engine may be ordered to load a
// partial or mixed version, the sources may serve no more than four copies of a
// version, and every engine must load it in the end.

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include <bed/Bed.h>
#include <utils/Digest.h>

using namespace waxwingyoke;
using namespace waxwingyoke::bed;

namespace {

using utils::Millis;

constexpr Millis kWaitTimeout(90000);
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
constexpr std::uint32_t kHalfPercent = 50;

std::string
MakeVersion(Bed& aBed,
            std::uint64_t aSeed,
            std::uint32_t aSharedPercent = kHalfPercent)
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

/** Appends a change; returns its revision, should it be accepted. */
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
IsLoadedEverywhere(Bed& aBed,
                   const std::vector<BedNode*>& aSides,
                   const std::string& aVersion)
{
  return std::ranges::all_of(aSides, [&](BedNode* aSide) {
    auto state = aBed.GetEngineState(*aSide);
    return state && state->version() == aVersion && !state->loading();
  });
}

void
CheckLoaded(Bed& aBed,
            const std::vector<BedNode*>& aSides,
            const std::string& aVersion)
{
  CHECK(Bed::WaitFor([&] { return IsLoadedEverywhere(aBed, aSides, aVersion); },
                     kWaitTimeout));
  CHECK(aBed.GetViolations().empty());
  CHECK(CountOriginCopies(aBed, aVersion) <= kMaxOriginCopies);
}

/** Waits until the sources have served aCopies of the version. */
void
WaitForCopies(Bed& aBed, const std::string& aVersion, double aCopies)
{
  REQUIRE(
    Bed::WaitFor([&] { return CountOriginCopies(aBed, aVersion) >= aCopies; },
                 kWaitTimeout));
}

std::vector<BedNode*>
ListRegion(Bed& aBed, const std::string& aRegion)
{
  auto sides = aBed.GetEngineSides();
  std::erase_if(sides,
                [&](BedNode* aSide) { return aSide->vm.region() != aRegion; });
  return sides;
}

/** The number of engines that cannot serve now. */
std::size_t
CountIdle(Bed& aBed, const std::vector<BedNode*>& aSides)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aSides, [&](BedNode* aSide) {
      auto state = aBed.GetEngineState(*aSide);
      return !state || state->loading() || state->version().empty();
    }));
}

/** Whether a line of the side's log contains all of aParts. */
bool
HasLogLine(const BedNode& aSide, const std::vector<std::string>& aParts)
{
  std::ifstream file(aSide.logFile);
  bool found = false;
  for (std::string line; !found && std::getline(file, line);) {
    found = std::ranges::all_of(aParts, [&line](const std::string& aPart) {
      return line.find(aPart) != std::string::npos;
    });
  }
  return found;
}

} // namespace

TEST_CASE(
  "a version spreads although sources and links corrupt, cut and stall chunks")
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
    fakes::LinkFaults corrupting;
    corrupting.set_corrupt_per_mille(5);
    corrupting.set_cut_answers_per_mille(2);
    for (auto* side : aBed.GetEngineSides()) {
      REQUIRE(aBed.SetLink(*side, Link::Control, corrupting));
    }
    auto version = MakeVersion(aBed, 2);
    Publish(aBed, version);
    CheckLoaded(aBed, aBed.GetEngineSides(), version);
  });
}

// Guards against a side whose configuration differs from the log's for good,
// since a link changed a byte of a record on its way from the side's parent.
TEST_CASE("all sides have the log's configuration although links change bytes")
{
  constexpr std::uint64_t kSeed = 20261204;
  constexpr int kChanges = 20;
  constexpr std::uint32_t kChangedPerMille = 200;
  BedOptions options;
  // All sides but the relays have their records from another side.
  options.sites = { { "budapest-1", "kozep-mo", 0, 8, 0 } };
  options.proxied = true;
  options.seed = kSeed;
  RunWithBed(options, [](Bed& aBed) {
    fakes::LinkFaults changing;
    changing.set_corrupt_per_mille(kChangedPerMille);
    for (auto* side : aBed.GetEngineSides()) {
      REQUIRE(aBed.SetLink(*side, Link::Control, changing));
    }
    // No source has these versions, so only control messages are sent.
    std::uint64_t revision = 0;
    for (int change = 0; change < kChanges; ++change) {
      auto version = utils::Digest::Of(std::to_string(change)).ToHex();
      revision = Publish(aBed, version, revision);
      REQUIRE(
        Bed::WaitFor([&] { return aBed.IsInForce(revision); }, kWaitTimeout));
    }
  });
}

// Guards against a side that waits without a trace in its log for a manifest
// that no source has.
TEST_CASE("a side logs that no source has the manifest of its version")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    auto version = utils::Digest::Of("missing").ToHex();
    Publish(aBed, version);
    auto sides = aBed.GetEngineSides();
    CHECK(Bed::WaitFor(
      [&] {
        return std::ranges::all_of(sides, [&](const BedNode* aSide) {
          return HasLogLine(
            *aSide,
            { "no source has sent the manifest", version, "not_found" });
        });
      },
      kWaitTimeout));
  });
}

TEST_CASE("the other VMs load the version after two of a region are killed")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    auto version = MakeVersion(aBed, 2);
    Publish(aBed, version);
    WaitForCopies(aBed, version, 0.5);
    auto region = ListRegion(aBed, "kozep-mo");
    aBed.Kill(*region[0]);
    aBed.Kill(*region[1]);
    auto survivors = aBed.GetEngineSides();
    std::erase_if(survivors, [&](BedNode* aSide) {
      return aSide == region[0] || aSide == region[1];
    });
    CheckLoaded(aBed, survivors, version);
    // A replaced VM loads the version too, from those that hold it.
    utils::Error reason;
    REQUIRE(aBed.StartNode(*region[0], reason));
    survivors.push_back(region[0]);
    CheckLoaded(aBed, survivors, version);
  });
}

TEST_CASE("once one region holds a version it spreads without store and origin")
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
    CheckLoaded(aBed, first, version);
    fakes::Faults outage;
    outage.set_outage(true);
    REQUIRE(aBed.SetFaults(Service::Store, outage));
    REQUIRE(aBed.SetFaults(Service::Origin, outage));
    auto all = aBed.GetEngineSides();
    for (auto* side : all) {
      if (side->process == nullptr) {
        REQUIRE(aBed.StartNode(*side, reason));
      }
    }
    CheckLoaded(aBed, all, version);
    CHECK(CountOriginCopies(aBed, version) <= 1.2);
  });
}

TEST_CASE("a region loads the version after its partition ends")
{
  auto options = MakeOptions();
  options.proxied = true;
  RunWithBed(options, [](Bed& aBed) {
    auto version = MakeVersion(aBed, 2);
    Publish(aBed, version);
    WaitForCopies(aBed, version, 0.5);
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
    CheckLoaded(aBed, others, version);
    for (auto* side : region) {
      REQUIRE(aBed.SetLink(*side, Link::Control, {}));
    }
    CheckLoaded(aBed, aBed.GetEngineSides(), version);
  });
}

TEST_CASE("a resumed side does not carry out an outdated load order")
{
  auto options = MakeOptions();
  options.engineFaults.mutable_engine()->set_load_ms(1500);
  RunWithBed(options, [](Bed& aBed) {
    auto first = MakeVersion(aBed, 2);
    auto second = MakeVersion(aBed, 3);
    auto sides = aBed.GetEngineSides();
    auto revision = Publish(aBed, first);
    auto* pausedSide = sides.front();
    REQUIRE(Bed::WaitFor(
      [&] {
        auto state = aBed.GetEngineState(*pausedSide);
        return state && state->loading();
      },
      kWaitTimeout));
    aBed.Pause(*pausedSide);
    auto next = Publish(aBed, second, revision);
    auto others = sides;
    std::erase(others, pausedSide);
    CheckLoaded(aBed, others, second);
    aBed.Resume(*pausedSide);
    CheckLoaded(aBed, sides, second);
    CHECK(aBed.GetEngineState(*pausedSide)->fencing() == next);
  });
}

TEST_CASE(
  "engines that ignore fencing and lose answers load the current version")
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
    CheckLoaded(aBed, sides, first);
    Publish(aBed, second, revision);
    CheckLoaded(aBed, sides, second);
  });
}

TEST_CASE("of two concurrent changes every VM loads the accepted one")
{
  RunWithBed(MakeOptions(), [](Bed& aBed) {
    auto first = MakeVersion(aBed, 2);
    auto sides = aBed.GetEngineSides();
    auto revision = Publish(aBed, first);
    WaitForCopies(aBed, first, 0.5);
    auto acceptedVersion = MakeVersion(aBed, 3);
    auto refusedVersion = MakeVersion(aBed, 4, 0);
    Publish(aBed, acceptedVersion, revision);
    Publish(aBed, refusedVersion, revision);
    CheckLoaded(aBed, sides, acceptedVersion);
    CHECK(CountOriginCopies(aBed, refusedVersion) == 0);
  });
}

TEST_CASE("a switch-over loads one VM at a time and skips a removed one")
{
  auto options = MakeOptions();
  options.engineFaults.mutable_engine()->set_load_ms(300);
  RunWithBed(options, [](Bed& aBed) {
    auto first = MakeVersion(aBed, 2);
    auto second = MakeVersion(aBed, 3);
    auto sides = aBed.GetEngineSides();
    auto revision = Publish(aBed, first);
    CheckLoaded(aBed, sides, first);
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
        return IsLoadedEverywhere(aBed, sides, second);
      },
      kWaitTimeout);
    CHECK(ended);
    CHECK(killed != nullptr);
    CHECK(mostIdle <= 1);
    CHECK(aBed.GetViolations().empty());
  });
}
