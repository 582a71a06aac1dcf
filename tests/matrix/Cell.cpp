#include "Cell.h"

#include <algorithm>
#include <stdexcept>

#include <net/Runtime.h>

#include "Faults.h"
#include "Guarantees.h"
#include "Steps.h"

namespace waxwingyoke::matrix {

namespace {

using utils::Millis;

// A change of the profile in force, or its publication if there is none, so
// that it names aVersion.
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

// Retries the change, as an operator does, until its outcome is known.
void
RunOperator(bed::Bed& aBed, Change& aChange, bool aChatIsIdempotent)
{
  constexpr Millis kPause(300);
  platform::LogClient log(aBed.GetClient(),
                          aBed.GetEndpoint(bed::Service::Log));
  std::optional<schema::ProfileChange> wanted;
  std::string id;
  utils::Clock clock;
  auto deadline = clock.Now() + kRecoveryTimeout;
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
  auto shuffled = [this](std::vector<bed::BedNode*> aNodes) {
    std::ranges::shuffle(aNodes, random);
    return aNodes;
  };
  auto sides = shuffled(bed.GetEngineSides());
  auto entries = shuffled(bed.GetEntries());
  auto services = shuffled(bed.GetServiceSides());
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
  // All versions of a cell have half of their bytes in common.
  spec.set_base_seed(seed);
  spec.set_shared_percent(50);
  utils::Error reason;
  auto reply = bed.MakeVersion(spec, reason);
  if (!reply) {
    throw std::runtime_error("cannot create a weights version: " +
                             reason.detail);
  }
  return reply->version();
}

void
Cell::StartChange(const std::string& aVersion)
{
  changes.push_back(std::make_unique<Change>());
  auto* change = changes.back().get();
  change->version = aVersion;
  ++pendingChanges;
  net::Runtime::SpawnHere([this, change] {
    // With an even seed chat requests are declared idempotent, which lets
    // entries retry them.
    RunOperator(bed, *change, seed % 2 == 0);
    change->done = true;
    --pendingChanges;
  });
}

void
Cell::WaitChanges()
{
  bed::Bed::WaitFor([this] { return pendingChanges == 0; },
                    kRecoveryTimeout + kRecoveryTimeout);
}

void
Cell::PublishAndWait(bool aWithModel)
{
  utils::Error reason;
  if (!bed.Append(MakeServicePublication(), reason)) {
    throw std::runtime_error("cannot publish the service profile: " +
                             reason.detail);
  }
  // The traffic counts failures only once every entry has the profiles.
  auto answers = [this](CallKind aKind) {
    return std::ranges::all_of(
      bed.GetEntries(), [&](const bed::BedNode* aEntry) {
        return bed::Bed::WaitFor(
          [&] {
            return traffic.CallOnceAt(aKind, aEntry->caller)
              .answers[0]
              .complete;
          },
          kRecoveryTimeout);
      });
  };
  bool serving = answers(CallKind::Idempotent) && answers(CallKind::Keyed);
  if (aWithModel) {
    StartChange(MakeVersion());
    WaitChanges();
    serving = serving &&
              bed.WaitEnginesWith(changes[0]->version,
                                  bed.GetEngineSides().size(),
                                  kRecoveryTimeout) &&
              answers(CallKind::Streaming);
  }
  if (!serving) {
    throw std::runtime_error(
      "the test bed did not start to serve requests in time");
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
    result.findings.push_back("unknown step or fault name");
    return result;
  }
  try {
    bed::RunWithBed(MakeBedOptions(aName.seed), [&](bed::Bed& aBed) {
      Cell cell(aBed, aName.seed);
      step->prepare(cell);
      cell.firstRecord = cell.traffic.GetRecords().size();
      VersionMonitor monitor(cell);
      cell.traffic.Start(step->traffic, kCallers);
      step->start(cell);
      std::ranges::for_each(faults,
                            [&](const auto* aFault) { aFault->inject(cell); });
      step->during(cell);
      net::Runtime::Sleep(kFaultDuration);
      std::ranges::for_each(faults,
                            [&](const auto* aFault) { aFault->lift(cell); });
      step->finish(cell);
      cell.WaitChanges();
      cell.traffic.Stop();
      CheckGuarantees(cell, *step, faults);
      monitor.Stop();
      CheckVersions(cell, monitor);
      result.findings = cell.findings;
    });
  } catch (const std::exception& error) {
    result.findings.push_back(std::string("stopped: ") + error.what());
  }
  return result;
}

} // namespace waxwingyoke::matrix
