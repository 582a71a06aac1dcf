#include "SwarmRun.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <random>
#include <set>

#include <bed/Bed.h>
#include <net/Runtime.h>

#include "LinkBytes.h"

namespace waxwingyoke::burst {

namespace {

using bed::Bed;
using bed::BedNode;
using bed::Service;
using utils::Millis;

constexpr Millis kPollInterval(30);
constexpr std::uint32_t kCorruptPerMille = 20;
constexpr std::size_t kVmsPerKilled = 10;
constexpr std::size_t kEnginesPerProgram = 8;
constexpr const char* kProfile = "bench";

/** One burst: the distribution of a version to all sides of a test bed. */
class SwarmRun
{
public:
  SwarmRun(Bed& aBed, const Options& aOptions)
    : bed_(aBed)
    , options_(aOptions)
    , sides_(aBed.GetEngineSides())
  {
  }

  WayResult Run();

private:
  bool Publish(std::uint64_t aSeed, std::uint64_t aReplaces);
  void WaitUntil(Millis aTime);
  void InjectFaults();
  void KillRandomSides();
  void PublishSecondVersion();
  bool WaitUntilAllServe();
  void CountCopies(WayResult& aResult);

  Bed& bed_;
  const Options& options_;
  std::vector<BedNode*> sides_;
  std::string version_;
  std::uint64_t revision_ = 0;
  utils::Clock clock_;
  Millis publishedAt_;
  std::size_t notServing_ = 0;
};

bool
SwarmRun::Publish(std::uint64_t aSeed, std::uint64_t aReplaces)
{
  fakes::VersionSpec spec;
  spec.set_model("bench-model");
  spec.set_bytes(options_.bytes);
  spec.set_chunk_bytes(options_.chunkBytes);
  spec.set_seed(aSeed);
  utils::Error reason;
  auto made = bed_.MakeVersion(spec, reason);
  if (!made) {
    std::fprintf(stderr, "no version: %s\n", reason.detail.c_str());
    return false;
  }
  version_ = made->version();
  schema::ProfileChange change;
  change.set_author("bench");
  change.set_kind(aReplaces == 0 ? schema::PUBLISH : schema::CHANGE);
  change.set_replaces_revision(aReplaces);
  auto& profile = *change.mutable_profile();
  profile.set_name(kProfile);
  profile.set_model(spec.model());
  profile.set_version(version_);
  profile.mutable_vms()->set_group(bed::kEngineGroup);
  profile.mutable_switch_over()->set_max_unavailable(
    static_cast<std::uint32_t>(options_.vms));
  publishedAt_ = clock_.Now();
  auto offset = bed_.Append(change, reason);
  revision_ = offset.value_or(0) + 1;
  return offset.has_value();
}

void
SwarmRun::WaitUntil(Millis aTime)
{
  auto remaining = publishedAt_ + aTime - clock_.Now();
  if (remaining > Millis(0)) {
    net::Runtime::Sleep(remaining);
  }
}

void
SwarmRun::InjectFaults()
{
  auto bound = options_.GetTimeBound();
  WaitUntil(bound / 4);
  fakes::Faults stalled;
  stalled.set_silent(true);
  bed_.SetFaults(Service::Store, stalled);
  WaitUntil(bound / 2);
  KillRandomSides();
}

void
SwarmRun::KillRandomSides()
{
  std::mt19937_64 random(options_.seed);
  std::ranges::shuffle(sides_, random);
  auto count = std::max<std::size_t>(1, options_.vms / kVmsPerKilled);
  for (std::size_t i = 0; i < count; ++i) {
    bed_.Kill(*sides_.back());
    bed_.RemoveVm(*sides_.back());
    sides_.pop_back();
  }
}

void
SwarmRun::PublishSecondVersion()
{
  WaitUntil(options_.GetTimeBound() / 2);
  Publish(options_.seed + 1000, revision_);
}

bool
SwarmRun::WaitUntilAllServe()
{
  auto limit =
    options_.GetTimeBound() * static_cast<std::int64_t>(options_.maxRatio);
  auto remaining = sides_;
  while (!remaining.empty() && clock_.Now() - publishedAt_ < limit) {
    std::erase_if(remaining, [&](BedNode* aSide) {
      auto state = bed_.GetEngineState(*aSide);
      return state && state->version() == version_ && !state->loading();
    });
    if (!remaining.empty()) {
      net::Runtime::Sleep(kPollInterval);
    }
  }
  notServing_ = remaining.size();
  return remaining.empty();
}

void
SwarmRun::CountCopies(WayResult& aResult)
{
  auto copyBytes = static_cast<double>(options_.bytes);
  auto sent = [&](Service aService) {
    auto counters = bed_.GetCounters(aService);
    if (!counters) {
      return 0.0;
    }
    auto row = std::ranges::find(
      counters->versions(), version_, &fakes::VersionBytes::version);
    return row == counters->versions().end()
             ? 0.0
             : static_cast<double>(row->served()) / copyBytes;
  };
  // GET /counters is not subject to faults, so that a silent store answers it.
  aResult.originCopies = sent(Service::Store) + sent(Service::Origin);
  for (auto* side : sides_) {
    auto bytes = ReadLinkBytes(bed_.GetClient(), side->control);
    auto link = static_cast<double>(bytes.up + bytes.down) / copyBytes;
    aResult.maxLinkCopies = std::max(aResult.maxLinkCopies, link);
    aResult.interRegionCopies += static_cast<double>(bytes.remote) / copyBytes;
  }
  // The origin is in one region and is taken to serve all regions equally.
  auto regions = static_cast<double>(options_.regions);
  aResult.interRegionCopies += aResult.originCopies * (regions - 1) / regions;
}

WayResult
SwarmRun::Run()
{
  WayResult result;
  result.way = "swarm";
  if (!Publish(options_.seed, 0)) {
    result.failed = sides_.size();
    return result;
  }
  if (options_.faults == "faults") {
    InjectFaults();
  } else if (options_.faults == "second") {
    PublishSecondVersion();
  }
  if (WaitUntilAllServe()) {
    result.timeToAllMs = (clock_.Now() - publishedAt_).value;
  }
  result.failed = notServing_;
  result.violations = bed_.GetViolations().size();
  CountCopies(result);
  return result;
}

bed::BedOptions
MakeBedOptions(const Options& aOptions)
{
  bed::BedOptions options;
  for (std::size_t i = 0; i < aOptions.regions; ++i) {
    auto name = std::to_string(i + 1);
    bed::Site site;
    site.dataCentre = "dc" + name;
    site.region = "region" + name;
    site.entries = 0;
    site.sides = (aOptions.vms + aOptions.regions - 1 - i) / aOptions.regions;
    options.sites.push_back(site);
  }
  options.seed = aOptions.seed;
  options.settings = "[weights]\nlink_bytes_per_s = " +
                     std::to_string(aOptions.linkBytesPerSecond) + "\n";
  fakes::Faults source;
  source.mutable_store()->set_bytes_per_s(aOptions.GetOriginRate());
  if (aOptions.faults == "faults") {
    source.mutable_store()->set_corrupt_per_mille(kCorruptPerMille);
  }
  options.serviceFaults[Service::Store] = source;
  options.serviceFaults[Service::Origin] = source;
  // Engine fakes of one program share a thread that reads all their chunks:
  // fewer of them per program keep that thread from being the bottleneck.
  options.enginesPerProcess = kEnginesPerProgram;
  options.logLevel = aOptions.logLevel;
  options.keepFolder = aOptions.keepFolder;
  return options;
}

} // namespace

WayResult
RunSwarm(const Options& aOptions)
{
  WayResult result;
  bed::RunWithBed(MakeBedOptions(aOptions), [&](Bed& aBed) {
    std::fprintf(stderr, "bed in %s\n", aBed.GetFolder().c_str());
    result = SwarmRun(aBed, aOptions).Run();
  });
  return result;
}

} // namespace waxwingyoke::burst
