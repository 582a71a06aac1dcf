#include "Promises.h"

#include <algorithm>

#include <fakes/Tokens.h>
#include <net/Runtime.h>
#include <schema/Json.h>
#include <utils/Digest.h>

namespace waxwingyoke::matrix {

namespace {

using bed::CallerAnswer;
using utils::Millis;

// How often upstreams ran each id.
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
  // Engines count prompts, plain services calls.
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

// The whole answer to the caller's own request, or an error that says so.
void
CheckAnswers(Cell& aCell, const CallRecord& aRecord)
{
  for (const auto& answer : aRecord.answers) {
    if (answer.whole && !IsOwnAnswer(aCell, aRecord, answer)) {
      aCell.Find("whole answers: another's or a mixed one for " + aRecord.id);
    }
    bool explained = !answer.errorType.empty() || answer.reason.IsSet();
    if (!answer.whole && !explained) {
      aCell.Find("whole answers: ended early without an error, " +
                 Describe(aRecord, answer));
    }
  }
}

bool
SaysNotRun(const CallerAnswer& aAnswer)
{
  return aAnswer.run == "no";
}

bool
IsWhole(const CallerAnswer& aAnswer)
{
  return aAnswer.whole;
}

void
CheckRuns(Cell& aCell, const CallRecord& aRecord, const RunTable& aRuns)
{
  auto runs = aRuns.Count(aRecord.id);
  if (std::ranges::all_of(aRecord.answers, &SaysNotRun) && runs > 0) {
    aCell.Find("not run: " + Describe(aRecord, aRecord.answers[0]) + " ran " +
               std::to_string(runs) + " times");
  }
  bool idempotent =
    aRecord.kind == CallKind::Idempotent || aRecord.kind == CallKind::Streaming;
  if (!idempotent && runs > 1) {
    aCell.Find("at most once: " + aRecord.id + " ran " + std::to_string(runs) +
               " times");
  }
  if (std::ranges::any_of(aRecord.answers, &IsWhole) && runs == 0) {
    aCell.Find("whole answers: " + aRecord.id + " was answered and never ran");
  }
  std::vector<std::string> texts;
  for (const auto& answer : aRecord.answers) {
    if (answer.whole) {
      texts.push_back(answer.text);
    }
  }
  if (std::ranges::adjacent_find(texts, std::ranges::not_equal_to()) !=
      texts.end()) {
    aCell.Find("whole answers: two answers under one key, " + aRecord.id);
  }
}

// Where no fault touches requests, each gets its whole answer.
void
CheckAllWhole(Cell& aCell, std::size_t aEnd)
{
  const auto& records = aCell.traffic.GetRecords();
  for (std::size_t i = aCell.firstRecord; i < aEnd; ++i) {
    for (const auto& answer : records[i]->answers) {
      // A port closed in a shutdown is the balancer's to avoid.
      bool closed = answer.reason.kind == utils::ErrorKind::ConnectFailed;
      if (!answer.whole && !closed) {
        aCell.Find("spared: " + Describe(*records[i], answer));
      }
    }
  }
}

// The bed takes every kind of request again, at every entry that is left.
void
CheckRecovery(Cell& aCell)
{
  for (auto kind : { CallKind::Idempotent,
                     CallKind::Keyed,
                     CallKind::Unkeyed,
                     CallKind::Streaming }) {
    std::string last;
    bool whole = bed::Bed::WaitFor(
      [&] {
        const auto& call = aCell.traffic.CallOnce(kind);
        last = Describe(call, call.answers.back());
        return std::ranges::all_of(call.answers, &IsWhole);
      },
      kPatience);
    if (!whole) {
      aCell.Find("recovery: not served again, " + last);
    }
  }
}

// What the log says is in force must run on all engines that are left.
void
CheckInForce(Cell& aCell, const Step& aStep)
{
  platform::LogClient log(aCell.bed.GetClient(),
                          aCell.bed.GetEndpoint(bed::Service::Log));
  utils::Error reason;
  std::optional<profiles::Config> config;
  // After a trim the nodes write a snapshot for fresh readers.
  bed::Bed::WaitFor(
    [&] {
      config = profiles::Publisher(log).ReadConfig(reason);
      return config.has_value();
    },
    kPatience);
  const auto* profile = config ? config->FindProfile(kModelProfile) : nullptr;
  if (!profile) {
    aCell.Find("in force: the log can't be read, " + reason.detail);
    return;
  }
  for (const auto& change : aCell.changes) {
    if (!change->result) {
      aCell.Find("in force: an operator never learnt what became of a change");
    } else if (change->result->kind ==
                 profiles::PublishResult::Kind::Accepted &&
               change->result->revision > profile->revision()) {
      aCell.Find("in force: an accepted change is gone");
    }
  }
  auto engines = aCell.bed.GetEngineSides().size() - (aStep.endsVms ? 1 : 0);
  if (!aCell.bed.WaitEnginesWith(profile->version(), engines, kPatience)) {
    aCell.Find("in force: " +
               std::to_string(aCell.bed.CountEnginesWith(profile->version())) +
               " of " + std::to_string(engines) +
               " engines hold the version in force");
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
    aCell.Find("crashers: " + std::to_string(crashes) +
               " upstreams lost to one request");
  }
}

bool
Spares(const Fault* aFault)
{
  return aFault->sparesRequests;
}

} // namespace

VersionWatch::VersionWatch(Cell& aCell)
  : cell_(aCell)
{
  net::Runtime::SpawnHere([this] { Loop(); });
}

void
VersionWatch::Loop()
{
  constexpr Millis kPause(100);
  while (!stopping_) {
    for (const auto* side : cell_.bed.GetEngineSides()) {
      auto state = cell_.bed.GetEngineState(*side);
      auto& seen = history_[side->vm.id()];
      if (state && !state->version().empty() &&
          (seen.empty() || seen.back() != state->version())) {
        seen.push_back(state->version());
      }
    }
    net::Runtime::Sleep(kPause);
  }
  stopped_ = true;
}

void
VersionWatch::Stop()
{
  stopping_ = true;
  bed::Bed::WaitFor([this] { return stopped_; }, kPatience);
}

void
CheckPromises(Cell& aCell,
              const Step& aStep,
              const std::vector<const Fault*>& aFaults)
{
  auto underFault = aCell.traffic.GetRecords().size();
  CheckInForce(aCell, aStep);
  CheckRecovery(aCell);
  // Late work shows up before it is counted.
  net::Runtime::Sleep(Millis(500));
  RunTable runs(aCell.bed);
  for (const auto& record : aCell.traffic.GetRecords()) {
    CheckAnswers(aCell, *record);
    CheckRuns(aCell, *record, runs);
  }
  bool serving = aStep.name != "spread" && aStep.name != "load";
  if (serving && std::ranges::all_of(aFaults, &Spares)) {
    CheckAllWhole(aCell, underFault);
  }
  for (const auto& violation : aCell.bed.GetViolations()) {
    aCell.Find("weights: " + violation);
  }
  CheckCrashes(aCell);
}

void
CheckVersions(Cell& aCell, const VersionWatch& aWatch)
{
  auto revisionOf = [&](const std::string& aVersion) -> std::uint64_t {
    auto change = std::ranges::find(
      aCell.changes, aVersion, [](auto& aOne) { return aOne->version; });
    bool accepted =
      change != aCell.changes.end() && (*change)->result &&
      (*change)->result->kind == profiles::PublishResult::Kind::Accepted;
    return accepted ? (*change)->result->revision : 0;
  };
  for (const auto& [vm, versions] : aWatch.GetHistory()) {
    std::vector<std::uint64_t> revisions;
    std::ranges::transform(versions, std::back_inserter(revisions), revisionOf);
    if (std::ranges::find(revisions, 0U) != revisions.end()) {
      aCell.Find("reverts: " + vm + " held a version that was not accepted");
    }
    if (!std::ranges::is_sorted(revisions)) {
      aCell.Find("reverts: " + vm + " went back to an older version");
    }
  }
}

} // namespace waxwingyoke::matrix
