#include "SuspensionInjector.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <numeric>

#include <Deployment.h>
#include <net/Runtime.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

// Distinguishes the draws from those of the other faults of the same seed.
constexpr std::uint64_t kSeedOffset = 0x73757370;
constexpr Millis kPollInterval(20);
// Times in ms: between the starts of two series, which may overlap, from the
// start of a series to a suspension and to the first naming, between namings,
// and of suspensions and restarts.
constexpr std::int64_t kMinSeriesIntervalMs = 3000;
constexpr std::int64_t kMaxSeriesIntervalMs = 9000;
constexpr std::int64_t kMaxSuspensionDelayMs = 1500;
constexpr std::int64_t kMinSuspensionMs = 500;
constexpr std::int64_t kMaxSuspensionMs = 4000;
constexpr std::int64_t kMinNamingDelayMs = 200;
constexpr std::int64_t kMaxNamingDelayMs = 2000;
constexpr std::int64_t kMinNamingGapMs = 100;
constexpr std::int64_t kMaxNamingGapMs = 1500;
constexpr std::int64_t kMaxDisturbanceDelayMs = 4000;
constexpr std::int64_t kMinDownMs = 200;
constexpr std::int64_t kMaxDownMs = 1500;
// Numbers of namings in a row; each is as likely.
constexpr std::array kNamings{ 1, 1, 1, 2, 2, 3 };
// Times for which requests wait in an engine that keeps its version.
constexpr std::array kQueueTimes{ Millis(0),
                                  Millis(300),
                                  Millis(700),
                                  Millis(1500) };
// Engines keep their version until this long after the last naming's bound.
constexpr Millis kHoldAfterBound(1500);
// One in so many series restarts or signals a daemon.
constexpr std::int64_t kSeriesPerDisturbance = 3;
// Of three engines, two keep their version.
constexpr std::int64_t kHoldOutOf = 3;

std::int64_t
Draw(std::mt19937_64& aRandom, std::int64_t aFrom, std::int64_t aTo)
{
  return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(aRandom);
}

/** Draws aCount of the numbers from aFirst to before aEnd. */
std::vector<std::size_t>
DrawSome(std::mt19937_64& aRandom,
         std::size_t aFirst,
         std::size_t aEnd,
         std::size_t aCount)
{
  std::vector<std::size_t> numbers(aEnd - aFirst);
  std::iota(numbers.begin(), numbers.end(), aFirst);
  std::shuffle(numbers.begin(), numbers.end(), aRandom);
  numbers.resize(std::min(aCount, numbers.size()));
  return numbers;
}

} // namespace

SuspensionInjector::SuspensionInjector(
  SoakBed& aBed,
  ProcessFaults& aProcesses,
  InvariantChecker& aChecker,
  VersionLimitCheck& aVersionLimit,
  std::map<std::string, int>& aInjectedCounts)
  : bed_(aBed)
  , processes_(aProcesses)
  , checker_(aChecker)
  , versionLimit_(aVersionLimit)
  , injectedCounts_(aInjectedCounts)
  , random_(aBed.options.seed ^ kSeedOffset)
  , holders_(aBed.options.sides)
{
}

void
SuspensionInjector::Run(net::Runtime& aRuntime, Millis aEnd)
{
  while (clock_.Now() < aEnd) {
    Spawn(aRuntime, [this, &aRuntime, seed = random_()] {
      InjectSeries(aRuntime, seed);
    });
    auto next =
      clock_.Now() +
      Millis(Draw(random_, kMinSeriesIntervalMs, kMaxSeriesIntervalMs));
    net::Runtime::Sleep(std::min(next, aEnd) - clock_.Now());
  }
  while (running_ > 0) {
    net::Runtime::Sleep(kPollInterval);
  }
}

void
SuspensionInjector::Spawn(net::Runtime& aRuntime, std::function<void()> aTask)
{
  ++running_;
  aRuntime.Spawn([this, task = std::move(aTask)] {
    task();
    --running_;
  });
}

void
SuspensionInjector::NameVersion()
{
  bed_.NameVersion();
  versionLimit_.RecordNaming(bed_.GetVersion(), clock_.Now());
}

void
SuspensionInjector::InjectSeries(net::Runtime& aRuntime, std::uint64_t aSeed)
{
  ++injectedCounts_["suspension_series"];
  Random random(aSeed);
  auto engines = DrawEngines(random);
  HoldEngines(random, engines);
  auto begin = clock_.Now();
  SuspendAll(aRuntime, random, DrawDaemons(random));
  DisturbOne(aRuntime, random);
  auto namings = kNamings[random() % kNamings.size()];
  net::Runtime::Sleep(
    Millis(Draw(random, kMinNamingDelayMs, kMaxNamingDelayMs)));
  NameVersion();
  for (int i = 1; i < namings; ++i) {
    net::Runtime::Sleep(Millis(Draw(random, kMinNamingGapMs, kMaxNamingGapMs)));
    NameVersion();
  }
  net::Runtime::Sleep(Millis(adapter::kVersionMs) + kHoldAfterBound);
  ReleaseEngines(engines);
  checker_.RecordHold({ "hold", begin, clock_.Now() });
}

std::vector<std::size_t>
SuspensionInjector::DrawDaemons(Random& aRandom) const
{
  enum class Choice
  {
    OneEntry,
    SomeEntries,
    AllEntries,
    SomeSides,
    SomeOfBoth,
    Count
  };
  auto entries = bed_.entries.size();
  auto all = processes_.CountDaemons();
  auto choice =
    static_cast<Choice>(aRandom() % static_cast<std::uint64_t>(Choice::Count));
  auto some = [&](std::size_t aFirst, std::size_t aEnd) {
    return DrawSome(aRandom, aFirst, aEnd, 1 + aRandom() % (aEnd - aFirst));
  };
  switch (choice) {
    case Choice::OneEntry:
      return DrawSome(aRandom, 0, entries, 1);
    case Choice::SomeEntries:
      return some(0, entries);
    case Choice::AllEntries:
      return DrawSome(aRandom, 0, entries, entries);
    case Choice::SomeSides:
      return some(entries, all);
    default:
      return some(0, all);
  }
}

void
SuspensionInjector::SuspendAll(net::Runtime& aRuntime,
                               Random& aRandom,
                               const std::vector<std::size_t>& aDaemons)
{
  for (auto daemon : aDaemons) {
    Millis delay(Draw(aRandom, 0, kMaxSuspensionDelayMs));
    Millis duration(Draw(aRandom, kMinSuspensionMs, kMaxSuspensionMs));
    ++injectedCounts_["suspend"];
    Spawn(aRuntime, [this, daemon, delay, duration] {
      net::Runtime::Sleep(delay);
      auto begin = clock_.Now();
      processes_.Suspend(daemon, duration);
      checker_.RecordFault({ "suspend", begin, clock_.Now(), true });
    });
  }
}

void
SuspensionInjector::DisturbOne(net::Runtime& aRuntime, Random& aRandom)
{
  constexpr std::array kSignals{ SIGTERM, SIGKILL, SIGHUP };
  auto daemon = aRandom() % processes_.CountDaemons();
  auto signal = kSignals[aRandom() % kSignals.size()];
  Millis delay(Draw(aRandom, 0, kMaxDisturbanceDelayMs));
  Millis downTime(Draw(aRandom, kMinDownMs, kMaxDownMs));
  if (Draw(aRandom, 1, kSeriesPerDisturbance) > 1) {
    return;
  }
  ++injectedCounts_[signal == SIGHUP ? "hang_up" : "suspension_restart"];
  Spawn(aRuntime, [this, daemon, signal, delay, downTime] {
    net::Runtime::Sleep(delay);
    if (signal == SIGHUP) {
      processes_.Signal(daemon, signal);
      return;
    }
    auto begin = clock_.Now();
    processes_.Restart(daemon, signal, downTime);
    // A graceful stop must not cut requests.
    if (signal == SIGKILL) {
      checker_.RecordFault({ "kill", begin, clock_.Now(), true });
    }
  });
}

std::vector<std::size_t>
SuspensionInjector::DrawEngines(Random& aRandom) const
{
  std::vector<std::size_t> engines;
  for (std::size_t engine = 0; engine < holders_.size(); ++engine) {
    if (Draw(aRandom, 1, kHoldOutOf) < kHoldOutOf) {
      engines.push_back(engine);
    }
  }
  return engines;
}

void
SuspensionInjector::HoldEngines(Random& aRandom,
                                const std::vector<std::size_t>& aEngines)
{
  for (auto engine : aEngines) {
    ++holders_[engine];
    auto& faults = bed_.upstreams[engine]->faults;
    faults.refuseOrders = true;
    faults.queueTime = kQueueTimes[aRandom() % kQueueTimes.size()];
  }
}

void
SuspensionInjector::ReleaseEngines(const std::vector<std::size_t>& aEngines)
{
  for (auto engine : aEngines) {
    if (--holders_[engine] == 0) {
      auto& faults = bed_.upstreams[engine]->faults;
      faults.refuseOrders = false;
      faults.queueTime = Millis(0);
    }
  }
}

} // namespace waxwingyoke::soak
