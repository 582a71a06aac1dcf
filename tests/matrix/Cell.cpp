#include "Cell.h"

#include <algorithm>
#include <stdexcept>

#include <net/Runtime.h>

#include "Faults.h"
#include "Promises.h"
#include "Steps.h"

namespace waxwingyoke::matrix {

namespace {

using utils::Millis;

// Rewrites the profile so that it names aVersion, over whatever is in force.
schema::ProfileChange
MakeChange(const schema::Profile* aInForce,
           const std::string& aVersion,
           bool aChatIsIdempotent)
{
  schema::ProfileChange change;
  change.set_author("operator");
  auto& profile = *change.mutable_profile();
  if (aInForce) {
    change.set_kind(schema::CHANGE);
    change.set_replaces_revision(aInForce->revision());
    profile = *aInForce;
    profile.clear_revision();
  } else {
    change.set_kind(schema::PUBLISH);
    profile.set_name(kModelProfile);
    profile.set_kind(schema::MODEL);
    profile.set_model(kModelProfile);
    profile.mutable_vms()->set_group(bed::kEngineGroup);
    profile.mutable_switch_over()->set_max_unavailable(2);
  }
  profile.clear_requests();
  if (aChatIsIdempotent) {
    auto* rule = profile.mutable_requests()->add_idempotent();
    rule->set_method("POST");
    rule->set_path_prefix("/v1/chat/completions");
  }
  profile.set_version(aVersion);
  return change;
}

schema::ProfileChange
MakeServicePublication()
{
  schema::ProfileChange change;
  change.set_author("operator");
  change.set_kind(schema::PUBLISH);
  auto& profile = *change.mutable_profile();
  profile.set_name(kServiceProfile);
  profile.set_kind(schema::SERVICE);
  profile.mutable_vms()->set_group(bed::kServiceGroup);
  auto* rule = profile.mutable_requests()->add_idempotent();
  rule->set_method("GET");
  rule->set_path_prefix("/status");
  return change;
}

// An operator who asks until it is known what became of the change.
void
RunOperator(bed::Bed& aBed, Change& aChange, bool aChatIsIdempotent)
{
  constexpr Millis kPause(300);
  platform::LogClient log(aBed.GetClient(),
                          aBed.GetEndpoint(bed::Service::Log));
  std::optional<schema::ProfileChange> wanted;
  std::string id;
  utils::Clock clock;
  auto deadline = clock.Now() + kPatience;
  while (clock.Now() < deadline) {
    utils::Error reason;
    profiles::Publisher publisher(log);
    if (!wanted) {
      auto config = publisher.ReadConfig(reason);
      if (config) {
        wanted = MakeChange(config->FindProfile(kModelProfile),
                            aChange.version,
                            aChatIsIdempotent);
      }
    }
    if (wanted) {
      auto result = publisher.Publish(*wanted, id, reason);
      if (result && result->kind != profiles::PublishResult::Kind::Unknown) {
        aChange.result = result;
        return;
      }
      id = result ? result->id : id;
    }
    net::Runtime::Sleep(kPause);
  }
}

bed::BedOptions
MakeBedOptions(std::uint64_t aSeed)
{
  bed::BedOptions options;
  options.sites = { { "budapest-1", "kozep-mo", 1, 2, 1 },
                    { "debrecen-1", "alfold-east", 1, 2, 1 },
                    { "pecs-1", "dunantul-s", 1, 2, 1 } };
  options.seed = aSeed;
  options.proxied = true;
  options.engineFaults.mutable_engine()->set_tokens_per_s(100);
  options.engineFaults.mutable_engine()->set_load_ms(150);
  return options;
}

} // namespace

std::string
CellName::ToString() const
{
  std::string text = step + " x ";
  for (const auto& fault : faults) {
    text += (fault == faults.front() ? "" : "+") + fault;
  }
  return text + ", seed " + std::to_string(seed);
}

Cell::Cell(bed::Bed& aBed, std::uint64_t aSeed)
  : bed(aBed)
  , seed(aSeed)
  , random(aSeed)
  , traffic(aBed, aSeed)
{
  auto pick = [this](std::vector<bed::BedNode*> aNodes) {
    std::ranges::shuffle(aNodes, random);
    return aNodes;
  };
  auto sides = pick(bed.GetEngineSides());
  auto entries = pick(bed.GetEntries());
  auto services = pick(bed.GetServiceSides());
  victimSide = sides[0];
  targetSide = sides[1];
  victimEntry = entries[0];
  targetEntry = entries[1];
  victimService = services[0];
}

std::string
Cell::MakeVersion()
{
  constexpr std::uint64_t kBytes = 1 << 20;
  constexpr std::uint32_t kChunkBytes = 64 << 10;
  fakes::VersionSpec spec;
  spec.set_model(kModelProfile);
  spec.set_bytes(kBytes);
  spec.set_chunk_bytes(kChunkBytes);
  spec.set_seed(random());
  // Half of each version is that of the others.
  spec.set_base_seed(seed);
  spec.set_shared_percent(50);
  utils::Error reason;
  auto reply = bed.MakeVersion(spec, reason);
  if (!reply) {
    throw std::runtime_error("no version: " + reason.detail);
  }
  return reply->version();
}

void
Cell::StartChange(const std::string& aVersion)
{
  changes.push_back(std::make_unique<Change>());
  auto* change = changes.back().get();
  change->version = aVersion;
  ++changesUnderway;
  net::Runtime::SpawnHere([this, change] {
    // Even seeds let entries run chat requests again.
    RunOperator(bed, *change, seed % 2 == 0);
    change->done = true;
    --changesUnderway;
  });
}

void
Cell::WaitChanges()
{
  bed::Bed::WaitFor([this] { return changesUnderway == 0; },
                    kPatience + kPatience);
}

void
Cell::PublishAndWait(bool aModelToo)
{
  utils::Error reason;
  if (!bed.Append(MakeServicePublication(), reason)) {
    throw std::runtime_error("not published: " + reason.detail);
  }
  // Every entry must know the profile before callers rely on it.
  auto answers = [this](CallKind aKind) {
    return std::ranges::all_of(
      bed.GetEntries(), [&](const bed::BedNode* aEntry) {
        return bed::Bed::WaitFor(
          [&] {
            return traffic.CallOnceAt(aKind, aEntry->caller).answers[0].whole;
          },
          kPatience);
      });
  };
  bool serving = answers(CallKind::Idempotent) && answers(CallKind::Keyed);
  if (aModelToo) {
    StartChange(MakeVersion());
    WaitChanges();
    serving = serving &&
              bed.WaitEnginesWith(
                changes[0]->version, bed.GetEngineSides().size(), kPatience) &&
              answers(CallKind::Streaming);
  }
  if (!serving) {
    throw std::runtime_error("the bed did not begin to serve");
  }
}

CellResult
RunCell(const CellName& aName)
{
  constexpr std::size_t kCallers = 2;
  CellResult result{ aName, {} };
  const auto* step = FindStep(aName.step);
  auto faults = FindFaults(aName.faults);
  if (!step || faults.size() != aName.faults.size()) {
    result.findings.push_back("no such step or fault");
    return result;
  }
  try {
    bed::RunWithBed(MakeBedOptions(aName.seed), [&](bed::Bed& aBed) {
      Cell cell(aBed, aName.seed);
      step->prepare(cell);
      cell.firstRecord = cell.traffic.GetRecords().size();
      VersionWatch watch(cell);
      cell.traffic.Start(step->traffic, kCallers);
      step->act(cell);
      std::ranges::for_each(faults,
                            [&](const auto* aFault) { aFault->inject(cell); });
      step->during(cell);
      net::Runtime::Sleep(kFaultTime);
      std::ranges::for_each(faults,
                            [&](const auto* aFault) { aFault->lift(cell); });
      step->finish(cell);
      cell.WaitChanges();
      cell.traffic.Stop();
      CheckPromises(cell, *step, faults);
      watch.Stop();
      CheckVersions(cell, watch);
      result.findings = cell.findings;
    });
  } catch (const std::exception& error) {
    result.findings.push_back(std::string("stopped: ") + error.what());
  }
  return result;
}

} // namespace waxwingyoke::matrix
