#include <requests_load/AtMostOnceRun.h>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <map>

#include <bed/Caller.h>
#include <net/Runtime.h>
#include <utils/Digest.h>

#include <requests_load/Beds.h>

namespace waxwingyoke::requests_load {

namespace {

using bed::Bed;
using bed::CallerAnswer;
using utils::Millis;

// A call may take this much longer than its deadline, for the entry's final
// error answer.
constexpr Millis kLateTolerance(2000);

/** One call, sent once or, if it has an idempotency key, twice. */
struct Call
{
  std::string body;
  std::string key;
  std::vector<CallerAnswer> answers;
  std::vector<Millis> times;
};

fakes::Faults
MakeLostAnswers()
{
  fakes::Faults faults;
  faults.set_lost_answers_per_mille(300);
  return faults;
}

fakes::Faults
MakeOutage()
{
  fakes::Faults faults;
  faults.set_outage(true);
  return faults;
}

fakes::Faults
MakeSilence()
{
  fakes::Faults faults;
  faults.set_silent(true);
  return faults;
}

void
SetUpstreamFaults(Bed& aBed, const fakes::Faults& aFaults)
{
  for (auto* side : aBed.GetServiceSides()) {
    aBed.SetFaults(side->upstream, aFaults);
  }
}

PathFault
MakeUpstreamFault(const std::string& aName, const fakes::Faults& aFaults)
{
  return { aName,
           [aFaults](Bed& aBed) { SetUpstreamFaults(aBed, aFaults); },
           [](Bed& aBed) { SetUpstreamFaults(aBed, {}); } };
}

PathFault
MakeLogFault(const std::string& aName, const fakes::Faults& aFaults)
{
  return { aName,
           [aFaults](Bed& aBed) { aBed.SetFaults(bed::Service::Log, aFaults); },
           [](Bed& aBed) { aBed.SetFaults(bed::Service::Log, {}); } };
}

using PickNode = std::function<bed::BedNode&(Bed&)>;

PathFault
MakeKill(const std::string& aName, const PickNode& aPick)
{
  return { aName,
           [aPick](Bed& aBed) { aBed.Kill(aPick(aBed)); },
           [aPick](Bed& aBed) {
             utils::Error reason;
             aBed.StartNode(aPick(aBed), reason);
             aBed.WaitHealthy(aPick(aBed), Millis(10000));
           } };
}

PathFault
MakePause(const std::string& aName, const PickNode& aPick)
{
  return { aName,
           [aPick](Bed& aBed) { aBed.Pause(aPick(aBed)); },
           [aPick](Bed& aBed) { aBed.Resume(aPick(aBed)); } };
}

bed::BedNode&
GetFirstSide(Bed& aBed)
{
  return *aBed.GetServiceSides().front();
}

bed::BedNode&
GetLastEntry(Bed& aBed)
{
  return *aBed.GetEntries().back();
}

// Emulates the load balancer: skips entries that refuse the connection.
CallerAnswer
SendThroughBalancer(Bed& aBed,
                    std::size_t aFirstEntry,
                    const bed::ServiceCall& aCall)
{
  auto entries = aBed.GetEntries();
  CallerAnswer answer;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto* entry = entries[(aFirstEntry + i) % entries.size()];
    answer = bed::CallService(aBed.GetClient(), entry->caller, aCall);
    if (answer.reason.kind != utils::ErrorKind::ConnectFailed) {
      return answer;
    }
  }
  answer.run = "no";
  return answer;
}

PathFault
MakeLinkFault(const std::string& aName,
              bed::Link aLink,
              const fakes::LinkFaults& aFaults)
{
  auto set = [aLink](Bed& aBed, const fakes::LinkFaults& aNow) {
    for (auto* side : aBed.GetServiceSides()) {
      aBed.SetLink(*side, aLink, aNow);
    }
  };
  return { aName,
           [set, aFaults](Bed& aBed) { set(aBed, aFaults); },
           [set](Bed& aBed) { set(aBed, {}); } };
}

std::vector<PathFault>
MakeLinkFaults()
{
  fakes::LinkFaults silence;
  silence.set_silence_open(true);
  fakes::LinkFaults cut;
  cut.set_cut(true);
  fakes::LinkFaults holdToClient;
  holdToClient.set_hold_to_client(true);
  fakes::LinkFaults holdToTarget;
  holdToTarget.set_hold_to_target(true);
  fakes::LinkFaults cutAnswers;
  cutAnswers.set_cut_answers_per_mille(200);
  fakes::LinkFaults corrupt;
  corrupt.set_corrupt_per_mille(20);
  using bed::Link;
  return {
    MakeLinkFault("connections to sides silent", Link::Control, silence),
    MakeLinkFault("connections to upstreams silent", Link::Upstream, silence),
    MakeLinkFault("link to sides cut", Link::Control, cut),
    MakeLinkFault("answers of sides held", Link::Control, holdToClient),
    MakeLinkFault("attempts held", Link::Control, holdToTarget),
    MakeLinkFault("answers of sides cut", Link::Control, cutAnswers),
    MakeLinkFault("answers of upstreams cut", Link::Upstream, cutAnswers),
    MakeLinkFault("bytes from and to sides changed", Link::Control, corrupt),
  };
}

void
SendCall(Bed& aBed, Call& aCall, std::size_t aFirstEntry, Millis aDeadline)
{
  auto sends = aCall.key.empty() ? 1U : 2U;
  utils::Clock clock;
  for (std::size_t i = 0; i < sends; ++i) {
    auto begin = clock.Now();
    bed::ServiceCall call;
    call.profile = kServiceProfile;
    call.path = "/orders";
    call.body = aCall.body;
    call.idempotencyKey = aCall.key;
    call.deadline = aDeadline;
    aCall.answers.push_back(SendThroughBalancer(aBed, aFirstEntry + i, call));
    aCall.times.push_back(clock.Now() - begin);
  }
}

std::map<std::string, std::uint64_t>
CountRuns(Bed& aBed)
{
  std::map<std::string, std::uint64_t> runs;
  for (auto* side : aBed.GetServiceSides()) {
    auto counters = aBed.GetCounters(side->upstream);
    if (!counters) {
      continue;
    }
    for (const auto& row : counters->runs()) {
      runs[row.id()] += row.count();
    }
  }
  return runs;
}

bool
IsComplete(const CallerAnswer& aAnswer)
{
  return aAnswer.complete && aAnswer.errorType.empty();
}

void
ClassifyCall(const Call& aCall,
             std::uint64_t aRuns,
             Millis aDeadline,
             AtMostOnceResult& aResult)
{
  auto digest = utils::Digest::Of(aCall.body).ToHex();
  bool anyComplete = std::ranges::any_of(aCall.answers, IsComplete);
  bool allNotRun =
    std::ranges::all_of(aCall.answers, [](const CallerAnswer& aAnswer) {
      return aAnswer.run == "no";
    });
  bool anyWrongAnswer =
    std::ranges::any_of(aCall.answers, [&](const CallerAnswer& aAnswer) {
      return IsComplete(aAnswer) &&
             aAnswer.text.find(digest) == std::string::npos;
    });
  bool anyLate = std::ranges::any_of(aCall.times, [&](Millis aTime) {
    return aTime > aDeadline + kLateTolerance;
  });
  ++aResult.calls;
  for (const auto& answer : aCall.answers) {
    if (!IsComplete(answer)) {
      auto name = answer.errorType.empty()
                    ? std::string(utils::GetName(answer.reason.kind))
                    : answer.errorType;
      ++aResult.errors[name];
    }
  }
  aResult.complete += anyComplete ? 1 : 0;
  aResult.refusedNotRun += allNotRun ? 1 : 0;
  aResult.unknown += !anyComplete && !allNotRun ? 1 : 0;
  aResult.ranMoreThanOnce += aRuns > 1 ? 1 : 0;
  aResult.ranButReportedNotRun += allNotRun && aRuns > 0 ? 1 : 0;
  aResult.completeButNotRun += anyComplete && aRuns == 0 ? 1 : 0;
  aResult.wrongAnswer += anyWrongAnswer ? 1 : 0;
  aResult.late += anyLate ? 1 : 0;
}

} // namespace

std::vector<PathFault>
MakePathFaults()
{
  std::vector<PathFault> faults{
    MakeUpstreamFault("upstream answers lost", MakeLostAnswers()),
    MakeKill("side killed", GetFirstSide),
    MakePause("side paused", GetFirstSide),
    MakeLogFault("log out", MakeOutage()),
    MakeLogFault("log answers lost", MakeLostAnswers()),
    MakeKill("entry killed", GetLastEntry),
    MakePause("entry paused", GetLastEntry),
    MakeUpstreamFault("upstream silent", MakeSilence()),
  };
  std::ranges::copy(MakeLinkFaults(), std::back_inserter(faults));
  return faults;
}

AtMostOnceResult
RunAtMostOnce(Bed& aBed,
              const AtMostOnceOptions& aOptions,
              const std::vector<PathFault>& aFaults)
{
  std::vector<Call> calls(aOptions.calls);
  std::atomic<std::size_t> next(0);
  std::atomic<std::size_t> callers(aOptions.callers);
  for (std::size_t i = 0; i < aOptions.callers; ++i) {
    net::Runtime::SpawnHere([&] {
      for (auto n = next++; n < calls.size(); n = next++) {
        auto& call = calls[n];
        call.body = "order " + std::to_string(n);
        if (aOptions.keyedEvery > 0 && n % aOptions.keyedEvery == 0) {
          call.key = bed::MakeIdempotencyKey();
        }
        SendCall(aBed, call, n, aOptions.deadline);
        net::Runtime::Sleep(aOptions.pause);
      }
      --callers;
    });
  }
  for (std::size_t i = 0; callers > 0; ++i) {
    net::Runtime::Sleep(aOptions.pauseBetweenFaults);
    if (!aFaults.empty() && callers > 0) {
      const auto& fault = aFaults[i % aFaults.size()];
      fault.begin(aBed);
      net::Runtime::Sleep(aOptions.faultTime);
      fault.end(aBed);
    }
  }
  auto runs = CountRuns(aBed);
  AtMostOnceResult result;
  for (const auto& call : calls) {
    // The service fake identifies a call by its body.
    ClassifyCall(call, runs[call.body], aOptions.deadline, result);
  }
  return result;
}

} // namespace waxwingyoke::requests_load
