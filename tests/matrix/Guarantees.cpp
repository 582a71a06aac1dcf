#include "Guarantees.h"

#include <algorithm>

#include <fakes/Tokens.h>
#include <net/Runtime.h>
#include <schema/Json.h>
#include <utils/Digest.h>

namespace waxwingyoke::matrix {

namespace {

using bed::CallerAnswer;
using utils::Millis;

// How often the upstreams ran each request, by id.
class RunTable
{
public:
  explicit RunTable(bed::Bed& aBed)
  {
    for (const auto* side : aBed.GetEngineSides()) {
      Add(aBed.GetCounters(side->upstream));
    }
    for (const auto* side : aBed.GetServiceSides()) {
      Add(aBed.GetCounters(side->upstream));
    }
  }

  std::uint64_t Count(const std::string& aId) const
  {
    auto row = runs_.find(aId);
    return row == runs_.end() ? 0 : row->second;
  }

private:
  // Engines count runs by prompt, plain services by id.
  void Add(const std::optional<fakes::Counters>& aCounters)
  {
    if (!aCounters) {
      return;
    }
    for (const auto* rows : { &aCounters->prompts(), &aCounters->runs() }) {
      for (const auto& row : *rows) {
        runs_[row.id()] += row.count();
      }
    }
  }

  std::map<std::string, std::uint64_t> runs_;
};

std::string
Describe(const CallRecord& aRecord, const CallerAnswer& aAnswer)
{
  return aRecord.id + " (status " + std::to_string(aAnswer.status) + " " +
         aAnswer.errorType + " " + aAnswer.errorDetail + aAnswer.reason.detail +
         ")";
}

bool
IsOwnAnswer(Cell& aCell, const CallRecord& aRecord, const CallerAnswer& aAnswer)
{
  if (aRecord.kind == CallKind::Streaming) {
    bool known = std::ranges::any_of(aCell.changes, [&](const auto& aChange) {
      return aChange->version == aAnswer.version;
    });
    return known &&
           aAnswer.text ==
             fakes::MakeAnswer(aRecord.id, aAnswer.version, kStreamTokens);
  }
  fakes::ServiceReply reply;
  utils::Error ignored;
  return schema::FromJson(aAnswer.text, reply, ignored) &&
         reply.id() == aRecord.id;
}

// Each answer must be complete and belong to its request, or report an error.
void
CheckAnswers(Cell& aCell, const CallRecord& aRecord)
{
  for (const auto& answer : aRecord.answers) {
    if (answer.complete && !IsOwnAnswer(aCell, aRecord, answer)) {
      aCell.AddFinding("whole answers: an answer to another request, or mixed "
                       "from two versions, for " +
                       aRecord.id);
    }
    bool explained = !answer.errorType.empty() || answer.reason.IsSet();
    if (!answer.complete && !explained) {
      aCell.AddFinding("whole answers: incomplete answer without an error, " +
                       Describe(aRecord, answer));
    }
  }
}

bool
IsReportedNotRun(const CallerAnswer& aAnswer)
{
  return aAnswer.run == "no";
}

bool
IsComplete(const CallerAnswer& aAnswer)
{
  return aAnswer.complete;
}

void
CheckRuns(Cell& aCell, const CallRecord& aRecord, const RunTable& aRuns)
{
  auto runs = aRuns.Count(aRecord.id);
  if (std::ranges::all_of(aRecord.answers, &IsReportedNotRun) && runs > 0) {
    aCell.AddFinding("not run: " + Describe(aRecord, aRecord.answers[0]) +
                     " ran " + std::to_string(runs) + " times");
  }
  bool idempotent =
    aRecord.kind == CallKind::Idempotent || aRecord.kind == CallKind::Streaming;
  if (!idempotent && runs > 1) {
    aCell.AddFinding("at most once: " + aRecord.id + " ran " +
                     std::to_string(runs) + " times");
  }
  if (std::ranges::any_of(aRecord.answers, &IsComplete) && runs == 0) {
    aCell.AddFinding("whole answers: " + aRecord.id +
                     " has a complete answer but no upstream ran it");
  }
  std::vector<std::string> texts;
  for (const auto& answer : aRecord.answers) {
    if (answer.complete) {
      texts.push_back(answer.text);
    }
  }
  if (std::ranges::adjacent_find(texts, std::ranges::not_equal_to()) !=
      texts.end()) {
    aCell.AddFinding(
      "whole answers: two different answers under one idempotency key, " +
      aRecord.id);
  }
}

// Under faults that do not affect requests every answer must be complete.
void
CheckAllComplete(Cell& aCell, std::size_t aEnd)
{
  const auto& records = aCell.traffic.GetRecords();
  for (std::size_t i = aCell.firstRecord; i < aEnd; ++i) {
    for (const auto& answer : records[i]->answers) {
      // A refused connection is not counted: the callers' balancer may still
      // choose an entry that the step has just shut down.
      bool closed = answer.reason.kind == utils::ErrorKind::ConnectFailed;
      if (!answer.complete && !closed) {
        aCell.AddFinding("spared: " + Describe(*records[i], answer));
      }
    }
  }
}

// After the fault every kind of request must be served again.
void
CheckRecovery(Cell& aCell)
{
  for (auto kind : { CallKind::Idempotent,
                     CallKind::Keyed,
                     CallKind::Unkeyed,
                     CallKind::Streaming }) {
    std::string last;
    bool recovered = bed::Bed::WaitFor(
      [&] {
        const auto& call = aCell.traffic.CallOnce(kind);
        last = Describe(call, call.answers.back());
        return std::ranges::all_of(call.answers, &IsComplete);
      },
      kRecoveryTimeout);
    if (!recovered) {
      aCell.AddFinding("recovery: requests still fail, " + last);
    }
  }
}

// All remaining engines must hold the version that is in force by the log, and
// each operator must have received the outcome of each change.
void
CheckInForce(Cell& aCell, const Step& aStep)
{
  platform::LogClient log(aCell.bed.GetClient(),
                          aCell.bed.GetEndpoint(bed::Service::Log));
  utils::Error reason;
  std::optional<profiles::Config> config;
  // After a trim the log is unreadable for new readers until a node has written
  // a snapshot.
  bed::Bed::WaitFor(
    [&] {
      config = profiles::Publisher(log).ReadConfig(reason);
      return config.has_value();
    },
    kRecoveryTimeout);
  const auto* profile = config ? config->FindProfile(kModelProfile) : nullptr;
  if (!profile) {
    aCell.AddFinding("in force: cannot read the configuration from the log, " +
                     reason.detail);
    return;
  }
  for (const auto& change : aCell.changes) {
    if (!change->result) {
      aCell.AddFinding(
        "in force: the outcome of an operator's change is still unknown");
    } else if (change->result->kind ==
                 profiles::PublishResult::Kind::Accepted &&
               change->result->revision > profile->revision()) {
      aCell.AddFinding("in force: an accepted change was lost");
    }
  }
  auto engines = aCell.bed.GetEngineSides().size() - (aStep.removesVm ? 1 : 0);
  if (!aCell.bed.WaitEnginesWith(
        profile->version(), engines, kRecoveryTimeout)) {
    aCell.AddFinding(
      "in force: " +
      std::to_string(aCell.bed.CountEnginesWith(profile->version())) + " of " +
      std::to_string(engines) + " engines hold the version in force");
  }
}

void
CheckCrashes(Cell& aCell)
{
  std::uint64_t crashes = 0;
  for (const auto* side : aCell.bed.GetEngineSides()) {
    auto counters = aCell.bed.GetCounters(side->upstream);
    crashes += counters ? counters->crashes() : 0;
  }
  if (crashes > 2) {
    aCell.AddFinding("crashers: " + std::to_string(crashes) +
                     " upstreams crashed by one request");
  }
}

bool
AreRequestsUnaffected(const Fault* aFault)
{
  return aFault->requestsUnaffected;
}

} // namespace

VersionMonitor::VersionMonitor(Cell& aCell)
  : cell_(aCell)
{
  net::Runtime::SpawnHere([this] { Loop(); });
}

void
VersionMonitor::Loop()
{
  constexpr Millis kPause(100);
  while (!stopping_) {
    for (const auto* side : cell_.bed.GetEngineSides()) {
      auto state = cell_.bed.GetEngineState(*side);
      auto& observed = history_[side->vm.id()];
      if (state && !state->version().empty() &&
          (observed.empty() || observed.back() != state->version())) {
        observed.push_back(state->version());
      }
    }
    net::Runtime::Sleep(kPause);
  }
  stopped_ = true;
}

void
VersionMonitor::Stop()
{
  stopping_ = true;
  bed::Bed::WaitFor([this] { return stopped_; }, kRecoveryTimeout);
}

void
CheckGuarantees(Cell& aCell,
                const Step& aStep,
                const std::vector<const Fault*>& aFaults)
{
  auto recordsUnderFault = aCell.traffic.GetRecords().size();
  CheckInForce(aCell, aStep);
  CheckRecovery(aCell);
  // Lets the upstreams finish late runs before their counters are read.
  net::Runtime::Sleep(Millis(500));
  RunTable runs(aCell.bed);
  for (const auto& record : aCell.traffic.GetRecords()) {
    CheckAnswers(aCell, *record);
    CheckRuns(aCell, *record, runs);
  }
  bool serving = aStep.name != "spread" && aStep.name != "load";
  if (serving && std::ranges::all_of(aFaults, &AreRequestsUnaffected)) {
    CheckAllComplete(aCell, recordsUnderFault);
  }
  for (const auto& violation : aCell.bed.GetViolations()) {
    aCell.AddFinding("weights: " + violation);
  }
  CheckCrashes(aCell);
}

void
CheckVersions(Cell& aCell, const VersionMonitor& aMonitor)
{
  auto revisionOf = [&](const std::string& aVersion) -> std::uint64_t {
    auto change = std::ranges::find(
      aCell.changes, aVersion, [](auto& aOther) { return aOther->version; });
    bool accepted =
      change != aCell.changes.end() && (*change)->result &&
      (*change)->result->kind == profiles::PublishResult::Kind::Accepted;
    return accepted ? (*change)->result->revision : 0;
  };
  for (const auto& [vm, versions] : aMonitor.GetHistory()) {
    std::vector<std::uint64_t> revisions;
    std::ranges::transform(versions, std::back_inserter(revisions), revisionOf);
    if (std::ranges::find(revisions, 0U) != revisions.end()) {
      aCell.AddFinding("reverts: " + vm +
                       " held a version whose change was not accepted");
    }
    if (!std::ranges::is_sorted(revisions)) {
      aCell.AddFinding("reverts: " + vm + " reverted to an older version");
    }
  }
}

} // namespace waxwingyoke::matrix
