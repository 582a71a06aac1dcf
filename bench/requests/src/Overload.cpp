#include <algorithm>
#include <vector>

#include <requests_load/AtMostOnceRun.h>
#include <requests_load/Beds.h>
#include <requests_load/Streams.h>

#include "Figures.h"
#include "Parts.h"

namespace waxwingyoke::bench_requests {

namespace {

using namespace requests_load;
using utils::Millis;

constexpr std::size_t kTokens = 20;
constexpr std::uint32_t kTokensPerSecond = 50;
constexpr std::uint32_t kSlots = 8;
constexpr std::size_t kSides = 4;
constexpr Millis kDuration(12000);
constexpr Millis kDeadline(3000);
constexpr int kUrgentPriority = 0;
constexpr std::uint64_t kSeed = 12;

// Answers per second. The first token is due at once, so that an answer
// occupies its slot for kTokens - 1 token intervals.
double
GetCapacity()
{
  constexpr double kHoldSeconds =
    static_cast<double>(kTokens - 1) / static_cast<double>(kTokensPerSecond);
  return static_cast<double>(kSlots * kSides) / kHoldSeconds;
}

std::vector<StreamSample>
Run(bed::Bed& aBed, double aFactor)
{
  Load load;
  load.requestsPerSecond = aFactor * GetCapacity();
  load.duration = kDuration;
  load.makeCall = [](std::size_t aNumber) {
    constexpr std::size_t kUrgentEvery = 10;
    StreamCall call;
    call.prompt = "question " + std::to_string(aNumber);
    call.tokens = kTokens;
    call.deadline = kDeadline;
    call.priority = aNumber % kUrgentEvery == 0 ? kUrgentPriority : 5;
    call.organisation = "org-" + std::to_string(aNumber % 7);
    return call;
  };
  load.pickPeer = [&aBed](std::size_t aNumber) {
    auto entries = aBed.GetEntries();
    return entries[aNumber % entries.size()]->caller;
  };
  return RunLoad(aBed.GetClient(), load);
}

double
GetMiddleGoodput(const std::vector<StreamSample>& aSamples)
{
  constexpr double kWarmUp = 2000;
  auto begin = aSamples.front().startedAt;
  auto end = begin + static_cast<double>(kDuration.value);
  return GetGoodput(aSamples, begin + kWarmUp, end);
}

std::string
FormatFigures(const std::vector<StreamSample>& aSamples)
{
  std::vector<double> urgent;
  double urgentComplete = 0;
  double urgentAll = 0;
  for (const auto& sample : aSamples) {
    if (sample.priority == kUrgentPriority) {
      urgent.push_back(sample.total);
      urgentComplete += sample.complete ? 1 : 0;
      ++urgentAll;
    }
  }
  return Figures()
    .Add("calls", static_cast<double>(aSamples.size()))
    .Add("goodput_per_s", GetMiddleGoodput(aSamples))
    .Add("urgent_whole_share", urgentComplete / std::max(urgentAll, 1.0))
    .Add("urgent_p99_ms", GetQuantile(urgent, 0.99))
    .Finish();
}

} // namespace

std::string
MeasureOverload()
{
  std::string figures;
  auto options = MakeOptions(
    { { "a1", "a", 2, kSides, 0 } }, { kSlots, kTokensPerSecond }, kSeed);
  bed::RunWithBed(options, [&](bed::Bed& aBed) {
    utils::Error reason;
    if (!PublishModel(aBed, reason)) {
      return;
    }
    auto once = Run(aBed, 1.0);
    auto twice = Run(aBed, 2.0);
    figures =
      Figures()
        .Add("capacity_per_s", GetCapacity())
        .Add("deadline_ms", static_cast<double>(kDeadline.value))
        .AddJson("at_capacity", FormatFigures(once))
        .AddJson("at_twice", FormatFigures(twice))
        .Add("goodput_ratio", GetMiddleGoodput(twice) / GetMiddleGoodput(once))
        .Finish();
  });
  return figures;
}

std::string
MeasureAtMostOnce()
{
  std::string figures;
  auto options = MakeOptions({ { "a1", "a", 2, 0, 3 } }, { 32, 0 }, kSeed + 1);
  options.proxied = true;
  bed::RunWithBed(options, [&](bed::Bed& aBed) {
    utils::Error reason;
    if (!PublishService(aBed, reason)) {
      return;
    }
    AtMostOnceOptions once;
    once.calls = 10000;
    once.callers = 64;
    auto result = RunAtMostOnce(aBed, once, MakePathFaults());
    auto add = [](std::size_t aCount) { return static_cast<double>(aCount); };
    Figures errors;
    for (const auto& [name, count] : result.errors) {
      errors.Add(name, add(count));
    }
    figures = Figures()
                .AddJson("errors", errors.Finish())
                .Add("calls", add(result.calls))
                .Add("whole", add(result.complete))
                .Add("refused_not_run", add(result.refusedNotRun))
                .Add("unknown", add(result.unknown))
                .Add("ran_twice", add(result.ranMoreThanOnce))
                .Add("false_not_run", add(result.ranButReportedNotRun))
                .Add("whole_not_run", add(result.completeButNotRun))
                .Add("crossed", add(result.wrongAnswer))
                .Add("late", add(result.late))
                .Finish();
  });
  return figures;
}

} // namespace waxwingyoke::bench_requests
