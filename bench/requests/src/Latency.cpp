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

// An entry's share of 2,400 requests and 880,000 tokens a second over 340.
constexpr double kRequestsPerSecond = 7;
constexpr std::size_t kTokens = 367;
constexpr double kEntries = 340;
constexpr double kTargetRequests = 2400;
constexpr double kTargetTokens = 880000;
constexpr Millis kDuration(10000);
// Without any load, for what the processes do anyway.
constexpr Millis kIdleTime(5000);
constexpr std::uint64_t kSeed = 11;

struct Spread
{
  std::vector<double> first;
  std::vector<double> gaps;
  double whole = 0;
  double tokens = 0;
};

Spread
Collect(const std::vector<StreamSample>& aSamples)
{
  Spread spread;
  for (const auto& sample : aSamples) {
    spread.first.push_back(sample.firstToken);
    std::ranges::copy(sample.gaps, std::back_inserter(spread.gaps));
    spread.whole += sample.whole ? 1 : 0;
    spread.tokens += static_cast<double>(sample.tokens);
  }
  return spread;
}

std::string
Show(const Spread& aSpread, std::size_t aCount)
{
  constexpr double kGapBound = 40;
  auto within = std::ranges::count_if(
    aSpread.gaps, [](double aGap) { return aGap <= kGapBound; });
  auto gaps = std::max<double>(static_cast<double>(aSpread.gaps.size()), 1);
  return Figures()
    .Add("calls", static_cast<double>(aCount))
    .Add("whole", aSpread.whole)
    .Add("tokens", aSpread.tokens)
    .Add("first_token_p50_ms", GetQuantile(aSpread.first, 0.5))
    .Add("first_token_p95_ms", GetQuantile(aSpread.first, 0.95))
    .Add("first_token_p99_ms", GetQuantile(aSpread.first, 0.99))
    .Add("gap_p50_ms", GetQuantile(aSpread.gaps, 0.5))
    .Add("gap_p95_ms", GetQuantile(aSpread.gaps, 0.95))
    .Add("gap_p99_ms", GetQuantile(aSpread.gaps, 0.99))
    .Add("gaps_within_40_ms", static_cast<double>(within) / gaps)
    .Finish();
}

/** Processor time of entry and sides over one run. */
struct Cost
{
  double entryMillis = 0;
  double sideMillis = 0;
};

Cost
ReadCost(bed::Bed& aBed)
{
  Cost cost;
  for (auto* entry : aBed.GetEntries()) {
    cost.entryMillis += static_cast<double>(GetProcessorMillis(*entry));
  }
  for (auto* side : aBed.GetEngineSides()) {
    cost.sideMillis += static_cast<double>(GetProcessorMillis(*side));
  }
  return cost;
}

/** Processor time a second with no load. */
Cost
MeasureIdle(bed::Bed& aBed)
{
  auto before = ReadCost(aBed);
  net::Runtime::Sleep(kIdleTime);
  auto after = ReadCost(aBed);
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

// Direct, through, direct, through: what the machine does besides meets
// both alike.
std::string
Compare(bed::Bed& aBed, double aShare)
{
  std::vector<StreamSample> direct;
  std::vector<StreamSample> through;
  Cost cost;
  for (int i = 0; i < 2; ++i) {
    std::ranges::copy(Run(aBed, true, aShare, kTokens),
                      std::back_inserter(direct));
    auto before = ReadCost(aBed);
    std::ranges::copy(Run(aBed, false, aShare, kTokens),
                      std::back_inserter(through));
    auto after = ReadCost(aBed);
    cost.entryMillis += after.entryMillis - before.entryMillis;
    cost.sideMillis += after.sideMillis - before.sideMillis;
  }
  auto plain = Collect(direct);
  auto routed = Collect(through);
  constexpr double kMicrosPerMilli = 1000;
  auto tokens = std::max(routed.tokens, 1.0);
  return Figures()
    .Add("share_of_target", aShare)
    .AddJson("direct", Show(plain, direct.size()))
    .AddJson("through", Show(routed, through.size()))
    .Add("added_first_token_p50_ms",
         GetQuantile(routed.first, 0.5) - GetQuantile(plain.first, 0.5))
    .Add("added_first_token_p99_ms",
         GetQuantile(routed.first, 0.99) - GetQuantile(plain.first, 0.99))
    .Add("entry_us_per_token", cost.entryMillis * kMicrosPerMilli / tokens)
    .Add("side_us_per_token", cost.sideMillis * kMicrosPerMilli / tokens)
    .Finish();
}

// Short answers tell what a request costs besides its tokens.
std::string
MeasureRequests(bed::Bed& aBed)
{
  constexpr std::size_t kFew = 2;
  auto before = ReadCost(aBed);
  auto samples = Run(aBed, false, 0.25, kFew);
  auto after = ReadCost(aBed);
  auto count = std::max<double>(static_cast<double>(samples.size()), 1);
  auto entry = (after.entryMillis - before.entryMillis) / count;
  auto side = (after.sideMillis - before.sideMillis) / count;
  return Figures()
    .Add("requests", static_cast<double>(samples.size()))
    .Add("whole", Collect(samples).whole)
    .Add("entry_ms_per_request", entry)
    .Add("side_ms_per_request", side)
    .Finish();
}

} // namespace

std::string
MeasureLatency()
{
  std::string figures;
  EngineShape shape{ 64, 50 };
  auto options = MakeOptions({ { "a1", "a", 1, 4, 0 } }, shape, kSeed);
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
