#include <algorithm>
#include <random>
#include <vector>

#include <requests_load/Beds.h>
#include <requests_load/Streams.h>

#include "Figures.h"
#include "Parts.h"

namespace waxwingyoke::bench_requests {

namespace {

using namespace requests_load;
using utils::Millis;

constexpr std::size_t kSides = 8;
constexpr std::size_t kEntries = 4;
constexpr std::size_t kGroups = 64;
constexpr std::size_t kPrefixChars = 2000;
constexpr std::size_t kTailChars = 200;
constexpr double kRequestsPerSecond = 80;
constexpr Millis kDuration(15000);
constexpr std::uint64_t kSeed = 15;

// Generates prompts whose groups are Zipf-distributed; the prompts of a group
// share a long prefix.
std::vector<std::string>
MakeTrace(std::size_t aCount)
{
  std::mt19937 random(kSeed);
  std::vector<double> weights;
  for (std::size_t i = 1; i <= kGroups; ++i) {
    weights.push_back(1.0 / static_cast<double>(i));
  }
  std::discrete_distribution<std::size_t> group(weights.begin(), weights.end());
  std::vector<std::string> trace;
  for (std::size_t i = 0; i < aCount; ++i) {
    auto number = group(random);
    auto prompt = "group " + std::to_string(number) + " ";
    prompt.resize(kPrefixChars, static_cast<char>('a' + number % 26));
    prompt += " question " + std::to_string(i);
    prompt.resize(kPrefixChars + kTailChars, '.');
    trace.push_back(prompt);
  }
  return trace;
}

struct CacheCounts
{
  double hits = 0;
  double missed = 0;
  double maxTokens = 0;
  double meanTokens = 0;
};

CacheCounts
ReadCaches(bed::Bed& aBed)
{
  CacheCounts figures;
  auto sides = aBed.GetEngineSides();
  for (auto* side : sides) {
    auto counters = aBed.GetCounters(side->upstream);
    if (!counters) {
      continue;
    }
    figures.hits += static_cast<double>(counters->cache_hit_blocks());
    figures.missed += static_cast<double>(counters->cache_missed_blocks());
    auto tokens = static_cast<double>(counters->tokens());
    figures.maxTokens = std::max(figures.maxTokens, tokens);
    figures.meanTokens += tokens / static_cast<double>(sides.size());
  }
  return figures;
}

std::string
Run(std::size_t aEntries, const std::string& aPolicy)
{
  std::string figures;
  auto options =
    MakeOptions({ { "a1", "a", aEntries, kSides, 0 } }, { 16, 50 }, kSeed);
  options.entryLines = "routing = \"" + aPolicy + "\"\n";
  options.engineFaults.mutable_engine()->set_cache_blocks(1500);
  bed::RunWithBed(options, [&](bed::Bed& aBed) {
    utils::Error reason;
    if (!PublishModel(aBed, reason)) {
      return;
    }
    Load load;
    load.requestsPerSecond = kRequestsPerSecond;
    load.duration = kDuration;
    auto trace = MakeTrace(static_cast<std::size_t>(
      kRequestsPerSecond * static_cast<double>(kDuration.value) / 1000));
    load.makeCall = [&trace](std::size_t aNumber) {
      StreamCall call;
      call.prompt = trace[aNumber % trace.size()];
      call.tokens = 16;
      return call;
    };
    load.pickPeer = [&aBed](std::size_t aNumber) {
      auto entries = aBed.GetEntries();
      return entries[aNumber % entries.size()]->caller;
    };
    auto before = ReadCaches(aBed);
    auto samples = RunLoad(aBed.GetClient(), load);
    auto after = ReadCaches(aBed);
    auto completeCount =
      std::ranges::count_if(samples, &StreamSample::complete);
    auto hits = after.hits - before.hits;
    auto missed = after.missed - before.missed;
    figures = Figures()
                .Add("entries", static_cast<double>(aEntries))
                .Add("calls", static_cast<double>(samples.size()))
                .Add("whole", static_cast<double>(completeCount))
                .Add("hit_share", hits / std::max(hits + missed, 1.0))
                .Add("most_over_mean_load", after.maxTokens / after.meanTokens)
                .Finish();
  });
  return figures;
}

} // namespace

std::string
MeasurePrefix()
{
  // A single entry receives the entire trace and load, so it is the reference
  // of a router with complete information.
  auto one = Run(1, "bounded_hash");
  Figures all;
  all.AddJson("one_router", one);
  bool allMeasured = !one.empty();
  for (const char* policy : { "bounded_hash", "two_choices", "least_loaded" }) {
    auto many = Run(kEntries, policy);
    allMeasured = allMeasured && !many.empty();
    all.AddJson(policy, many);
  }
  return allMeasured ? all.Finish() : std::string();
}

} // namespace waxwingyoke::bench_requests
