#include <algorithm>
#include <vector>

#include <requests_load/Beds.h>
#include <requests_load/Streams.h>

#include "Figures.h"
#include "Parts.h"

namespace waxwingyoke::bench_requests {

namespace {

using namespace requests_load;
using utils::Millis;

constexpr std::size_t kSides = 10;
constexpr std::size_t kLost = 2;
constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kTokensPerSecond = 50;
constexpr std::size_t kTokens = 20;
constexpr Millis kDuration(24000);
constexpr double kLossTime = 8000;
constexpr double kRecoveryTime = 5000;
constexpr double kMillisPerSecond = 1000;
constexpr std::uint64_t kSeed = 14;

double
GetCapacity(std::size_t aSides)
{
  constexpr double kHoldSeconds =
    static_cast<double>(kTokens - 1) / static_cast<double>(kTokensPerSecond);
  return static_cast<double>(kSlots * aSides) / kHoldSeconds;
}

Load
MakeLoad(bed::Bed& aBed)
{
  Load load;
  load.requestsPerSecond = GetCapacity(kSides);
  load.duration = kDuration;
  load.makeCall = [](std::size_t aNumber) {
    StreamCall call;
    call.prompt = "question " + std::to_string(aNumber);
    call.tokens = kTokens;
    call.deadline = Millis(3000);
    return call;
  };
  load.pickPeer = [&aBed](std::size_t aNumber) {
    auto entries = aBed.GetEntries();
    return entries[aNumber % entries.size()]->caller;
  };
  auto lossNumber = static_cast<std::size_t>(load.requestsPerSecond *
                                             kLossTime / kMillisPerSecond);
  load.onArrival = [&aBed, lossNumber](std::size_t aNumber) {
    if (aNumber != lossNumber) {
      return;
    }
    auto sides = aBed.GetEngineSides();
    std::ranges::for_each(sides.begin(),
                          sides.begin() + kLost,
                          [&aBed](auto* aSide) { aBed.Kill(*aSide); });
  };
  return load;
}

} // namespace

std::string
MeasureLoss()
{
  std::string figures;
  auto options = MakeOptions(
    { { "a1", "a", 2, kSides, 0 } }, { kSlots, kTokensPerSecond }, kSeed);
  bed::RunWithBed(options, [&](bed::Bed& aBed) {
    utils::Error reason;
    if (!PublishModel(aBed, reason)) {
      return;
    }
    auto samples = RunLoad(aBed.GetClient(), MakeLoad(aBed));
    auto begin = samples.front().startedAt;
    auto end = begin + static_cast<double>(kDuration.value);
    auto before = GetGoodput(samples, begin + 2000, begin + kLossTime);
    auto during =
      GetGoodput(samples, begin + kLossTime, begin + kLossTime + kRecoveryTime);
    auto after = GetGoodput(samples, begin + kLossTime + kRecoveryTime, end);
    auto remaining = before * static_cast<double>(kSides - kLost) /
                     static_cast<double>(kSides);
    figures = Figures()
                .Add("sides", static_cast<double>(kSides))
                .Add("lost", static_cast<double>(kLost))
                .Add("goodput_before_per_s", before)
                .Add("goodput_first_5_s_per_s", during)
                .Add("goodput_after_5_s_per_s", after)
                .Add("ratio_to_remaining", after / remaining)
                .Finish();
  });
  return figures;
}

} // namespace waxwingyoke::bench_requests
