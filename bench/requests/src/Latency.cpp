#include <algorithm>
#include <iterator>
#include <vector>

#include <net/Runtime.h>
#include <requests_load/Beds.h>
#include <requests_load/Streams.h>

#include "Figures.h"
#include "Parts.h"

namespace waxwingyoke::bench_requests {

namespace {

using namespace requests_load;
using utils::Millis;

// One entry's share of the target load, which is 2,400 requests and 880,000
// tokens per second over 340 entries: 7 requests per second of 367 tokens.
constexpr double kRequestsPerSecond = 7;
constexpr std::size_t kTokens = 367;
constexpr double kEntries = 340;
constexpr double kTargetRequests = 2400;
constexpr double kTargetTokens = 880000;
constexpr Millis kDuration(10000);
// Duration of the measurement of the processes' CPU time without load.
constexpr Millis kIdleTime(5000);
constexpr std::uint64_t kSeed = 11;

struct StreamStats
{
  std::vector<double> first;
  std::vector<double> gaps;
  double complete = 0;
  double tokens = 0;
};

StreamStats
Collect(const std::vector<StreamSample>& aSamples)
{
  StreamStats stats;
  for (const auto& sample : aSamples) {
    stats.first.push_back(sample.firstToken);
    std::ranges::copy(sample.gaps, std::back_inserter(stats.gaps));
    stats.complete += sample.complete ? 1 : 0;
    stats.tokens += static_cast<double>(sample.tokens);
  }
  return stats;
}

std::string
FormatFigures(const StreamStats& aStats, std::size_t aCount)
{
  constexpr double kGapBound = 40;
  auto within = std::ranges::count_if(
    aStats.gaps, [](double aGap) { return aGap <= kGapBound; });
  auto gaps = std::max<double>(static_cast<double>(aStats.gaps.size()), 1);
  return Figures()
    .Add("calls", static_cast<double>(aCount))
    .Add("whole", aStats.complete)
    .Add("tokens", aStats.tokens)
    .Add("first_token_p50_ms", GetQuantile(aStats.first, 0.5))
    .Add("first_token_p95_ms", GetQuantile(aStats.first, 0.95))
    .Add("first_token_p99_ms", GetQuantile(aStats.first, 0.99))
    .Add("gap_p50_ms", GetQuantile(aStats.gaps, 0.5))
    .Add("gap_p95_ms", GetQuantile(aStats.gaps, 0.95))
    .Add("gap_p99_ms", GetQuantile(aStats.gaps, 0.99))
    .Add("gaps_within_40_ms", static_cast<double>(within) / gaps)
    .Finish();
}

/** CPU time of the entries and of the sides, ms. */
struct CpuTime
{
  double entryMillis = 0;
  double sideMillis = 0;
};

CpuTime
ReadCpuTime(bed::Bed& aBed)
{
  CpuTime cpuTime;
  for (auto* entry : aBed.GetEntries()) {
    cpuTime.entryMillis += static_cast<double>(GetCpuMillis(*entry));
  }
  for (auto* side : aBed.GetEngineSides()) {
    cpuTime.sideMillis += static_cast<double>(GetCpuMillis(*side));
  }
  return cpuTime;
}

/** Measures the CPU time per second without load, ms. */
CpuTime
MeasureIdle(bed::Bed& aBed)
{
  auto before = ReadCpuTime(aBed);
  net::Runtime::Sleep(kIdleTime);
  auto after = ReadCpuTime(aBed);
  constexpr double kMillisPerSecond = 1000;
  auto seconds = static_cast<double>(kIdleTime.value) / kMillisPerSecond;
  return { (after.entryMillis - before.entryMillis) / seconds,
           (after.sideMillis - before.sideMillis) / seconds };
}

std::vector<StreamSample>
Run(bed::Bed& aBed, bool aDirect, double aShare, std::size_t aTokens)
{
  Load load;
  load.requestsPerSecond = kRequestsPerSecond * aShare *
                           static_cast<double>(kTokens) /
                           static_cast<double>(aTokens);
  load.duration = kDuration;
  load.makeCall = [aTokens](std::size_t aNumber) {
    StreamCall call;
    call.prompt = "question " + std::to_string(aNumber);
    call.tokens = aTokens;
    call.deadline = Millis(60000);
    return call;
  };
  load.pickPeer = [&aBed, aDirect](std::size_t aNumber) {
    auto sides = aBed.GetEngineSides();
    return aDirect ? sides[aNumber % sides.size()]->upstream
                   : aBed.GetEntries().front()->caller;
  };
  return RunLoad(aBed.GetClient(), load);
}

// Alternates calls directly to the engines and through the entry, twice each,
// so that other load on the VM affects both alike.
std::string
Compare(bed::Bed& aBed, double aShare)
{
  std::vector<StreamSample> direct;
  std::vector<StreamSample> through;
  CpuTime cpuTime;
  for (int i = 0; i < 2; ++i) {
    std::ranges::copy(Run(aBed, true, aShare, kTokens),
                      std::back_inserter(direct));
    auto before = ReadCpuTime(aBed);
    std::ranges::copy(Run(aBed, false, aShare, kTokens),
                      std::back_inserter(through));
    auto after = ReadCpuTime(aBed);
    cpuTime.entryMillis += after.entryMillis - before.entryMillis;
    cpuTime.sideMillis += after.sideMillis - before.sideMillis;
  }
  auto directStats = Collect(direct);
  auto routedStats = Collect(through);
  constexpr double kMicrosPerMilli = 1000;
  auto tokens = std::max(routedStats.tokens, 1.0);
  return Figures()
    .Add("share_of_target", aShare)
    .AddJson("direct", FormatFigures(directStats, direct.size()))
    .AddJson("through", FormatFigures(routedStats, through.size()))
    .Add("added_first_token_p50_ms",
         GetQuantile(routedStats.first, 0.5) -
           GetQuantile(directStats.first, 0.5))
    .Add("added_first_token_p99_ms",
         GetQuantile(routedStats.first, 0.99) -
           GetQuantile(directStats.first, 0.99))
    .Add("entry_us_per_token", cpuTime.entryMillis * kMicrosPerMilli / tokens)
    .Add("side_us_per_token", cpuTime.sideMillis * kMicrosPerMilli / tokens)
    .Finish();
}

// Measures the CPU time of a request apart from its tokens, by short answers.
std::string
MeasureRequests(bed::Bed& aBed)
{
  constexpr std::size_t kShortTokens = 2;
  auto before = ReadCpuTime(aBed);
  auto samples = Run(aBed, false, 0.25, kShortTokens);
  auto after = ReadCpuTime(aBed);
  auto count = std::max<double>(static_cast<double>(samples.size()), 1);
  auto entry = (after.entryMillis - before.entryMillis) / count;
  auto side = (after.sideMillis - before.sideMillis) / count;
  return Figures()
    .Add("requests", static_cast<double>(samples.size()))
    .Add("whole", Collect(samples).complete)
    .Add("entry_ms_per_request", entry)
    .Add("side_ms_per_request", side)
    .Finish();
}

} // namespace

std::string
MeasureLatency()
{
  std::string figures;
  EngineCapacity capacity{ 64, 50 };
  auto options = MakeOptions({ { "a1", "a", 1, 4, 0 } }, capacity, kSeed);
  bed::RunWithBed(options, [&](bed::Bed& aBed) {
    utils::Error reason;
    if (!PublishModel(aBed, reason)) {
      return;
    }
    Figures all;
    auto idle = MeasureIdle(aBed);
    all.Add("entry_idle_ms_per_s", idle.entryMillis);
    all.Add("sides_idle_ms_per_s", idle.sideMillis);
    all.AddJson("half", Compare(aBed, 0.5));
    all.AddJson("full", Compare(aBed, 1.0));
    all.AddJson("short", MeasureRequests(aBed));
    all.Add("target_requests_per_entry", kTargetRequests / kEntries);
    all.Add("target_tokens_per_entry", kTargetTokens / kEntries);
    figures = all.Finish();
  });
  return figures;
}

} // namespace waxwingyoke::bench_requests
