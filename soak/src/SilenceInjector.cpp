#include "SilenceInjector.h"

#include <algorithm>

#include <net/Runtime.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

// Distinguishes the draws from those of the other faults of the same seed.
constexpr std::uint64_t kSeedOffset = 0x73696c65;
constexpr Millis kPollInterval(20);
// Times in ms: of one silence, of a round in which the same upstreams are
// silent, between two rounds, and between two configurations.
constexpr std::int64_t kMinSilenceMs = 500;
constexpr std::int64_t kMaxSilenceMs = 2000;
constexpr std::int64_t kMinRoundMs = 1000;
constexpr std::int64_t kMaxRoundMs = 4000;
constexpr std::int64_t kMaxPauseMs = 500;
constexpr std::int64_t kMinConfigIntervalMs = 300;
constexpr std::int64_t kMaxConfigIntervalMs = 2500;
// Of three sound upstreams, two fall silent in a round.
constexpr std::int64_t kSilentOutOf = 3;
constexpr std::int64_t kMaxEventsBefore = 4;

std::int64_t
Draw(std::mt19937_64& aRandom, std::int64_t aFrom, std::int64_t aTo)
{
  return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(aRandom);
}

} // namespace

SilenceInjector::SilenceInjector(SoakBed& aBed,
                                 InvariantChecker& aChecker,
                                 std::map<std::string, int>& aInjectedCounts)
  : bed_(aBed)
  , checker_(aChecker)
  , injectedCounts_(aInjectedCounts)
  , random_(aBed.options.seed ^ kSeedOffset)
{
}

void
SilenceInjector::Run(net::Runtime& aRuntime, Millis aEnd)
{
  std::size_t engines = bed_.options.sides;
  // Drawn once, as a request whose upstream changed it meanwhile would meet two
  // silences there. Plain services are silent before the head.
  for (std::size_t i = 0; i < engines; ++i) {
    bed_.upstreams[i]->faults.silentAfterEvents =
      static_cast<int>(Draw(random_, 0, kMaxEventsBefore));
  }
  Spawn(aRuntime, [this, engines, aEnd, seed = random_()] {
    InjectRounds(Random(seed), 0, engines, aEnd);
  });
  Spawn(aRuntime, [this, engines, aEnd, seed = random_()] {
    InjectRounds(Random(seed), engines, bed_.upstreams.size(), aEnd);
  });
  Spawn(aRuntime,
        [this, aEnd, seed = random_()] { PublishConfigs(Random(seed), aEnd); });
  while (running_ > 0) {
    net::Runtime::Sleep(kPollInterval);
  }
}

void
SilenceInjector::Spawn(net::Runtime& aRuntime, std::function<void()> aTask)
{
  ++running_;
  aRuntime.Spawn([this, task = std::move(aTask)] {
    task();
    --running_;
  });
}

void
SilenceInjector::InjectRounds(Random aRandom,
                              std::size_t aFirst,
                              std::size_t aLast,
                              Millis aEnd)
{
  while (clock_.Now() < aEnd) {
    // The first upstream breaks nothing off: when it is drawn, none does.
    auto breaking = aFirst + aRandom() % (aLast - aFirst);
    auto begin = clock_.Now();
    for (auto i = aFirst; i < aLast; ++i) {
      auto& faults = bed_.upstreams[i]->faults;
      if (i == breaking && i > aFirst) {
        BreakOff(aRandom, faults);
      } else if (Draw(aRandom, 1, kSilentOutOf) < kSilentOutOf) {
        ++injectedCounts_["silence"];
        faults.silence = Millis(Draw(aRandom, kMinSilenceMs, kMaxSilenceMs));
      }
    }
    net::Runtime::Sleep(Millis(Draw(aRandom, kMinRoundMs, kMaxRoundMs)));
    for (auto i = aFirst; i < aLast; ++i) {
      auto& faults = bed_.upstreams[i]->faults;
      UpstreamPeriod period{ bed_.upstreams[i]->GetId(), begin, clock_.Now() };
      if (i == breaking && i > aFirst) {
        checker_.RecordBreak(period);
      } else if (faults.silence > Millis(0)) {
        checker_.RecordSilence(period);
      }
      faults.silence = Millis(0);
      faults.breakAfterEvents = 0;
      faults.endBrokenResponse = false;
      faults.breakAnswers = false;
    }
    net::Runtime::Sleep(Millis(Draw(aRandom, 0, kMaxPauseMs)));
  }
}

void
SilenceInjector::BreakOff(Random& aRandom, adapter::UpstreamFaults& aFaults)
{
  ++injectedCounts_["break_beside_silence"];
  aFaults.breakAnswers = true;
  aFaults.breakAfterEvents =
    static_cast<int>(Draw(aRandom, 1, kMaxEventsBefore));
  aFaults.endBrokenResponse = Draw(aRandom, 0, 1) == 1;
}

void
SilenceInjector::PublishConfigs(Random aRandom, Millis aEnd)
{
  while (clock_.Now() < aEnd) {
    ++injectedCounts_["publish"];
    bed_.Publish();
    net::Runtime::Sleep(
      Millis(Draw(aRandom, kMinConfigIntervalMs, kMaxConfigIntervalMs)));
  }
}

} // namespace waxwingyoke::soak
