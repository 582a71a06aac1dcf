#include "CrashPartInjector.h"

#include <algorithm>
#include <csignal>
#include <iterator>
#include <utility>
#include <vector>

#include <net/Runtime.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

constexpr std::uint64_t kSeedOffset = 0x63706172;
constexpr int kOk = 200;
constexpr Millis kPollInterval(20);
// The platform's bounds: crashes that show which part causes them, and how many
// requests with it may reach engines later than this after the last of these.
constexpr std::size_t kCrashesToConvict = 5;
constexpr int kMaxLateArrivals = 3;
constexpr Millis kStable = VersionLimitCheck::kStable;
// An episode goes on for this long after the time from which sound requests
// have to be served.
constexpr Millis kSoundCheckTime(2000);
constexpr Millis kLongestEpisode(14000);
constexpr std::int64_t kMinCallGapMs = 40;
constexpr std::int64_t kMaxCallGapMs = 160;
constexpr std::int64_t kMinRestartMs = 300;
constexpr std::int64_t kMaxRestartMs = 1500;
constexpr std::int64_t kMaxDisturbanceDelayMs = 5000;
constexpr std::int64_t kMinDownMs = 200;
constexpr std::int64_t kMaxDownMs = 1500;
constexpr int kMaxDisturbances = 3;

std::int64_t
Draw(std::mt19937_64& aRandom, std::int64_t aFrom, std::int64_t aTo)
{
  return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(aRandom);
}

} // namespace

CrashPartInjector::CrashPartInjector(
  SoakBed& aBed,
  Callers& aCallers,
  ProcessFaults& aProcesses,
  InvariantChecker& aChecker,
  VersionLimitCheck& aStability,
  std::map<std::string, int>& aInjectedCounts)
  : bed_(aBed)
  , callers_(aCallers)
  , processes_(aProcesses)
  , checker_(aChecker)
  , stability_(aStability)
  , injectedCounts_(aInjectedCounts)
  , random_(aBed.options.seed + kSeedOffset)
{
}

void
CrashPartInjector::Run(net::Runtime& aRuntime, Millis aEnd)
{
  do {
    PlayEpisode(aRuntime);
  } while (clock_.Now() < aEnd);
}

void
CrashPartInjector::Spawn(net::Runtime& aRuntime, std::function<void()> aTask)
{
  ++running_;
  aRuntime.Spawn([this, task = std::move(aTask)] {
    task();
    --running_;
  });
}

void
CrashPartInjector::PlayEpisode(net::Runtime& aRuntime)
{
  badPart_ = "bad" + std::to_string(++episodes_);
  ++injectedCounts_["crash_part"];
  badAttempts_.clear();
  episodeBegin_ = clock_.Now();
  for (std::size_t i = 0; i < bed_.options.sides; ++i) {
    auto& faults = bed_.upstreams[i]->faults;
    faults.restartTime = Millis(Draw(random_, kMinRestartMs, kMaxRestartMs));
    faults.crashPart = badPart_;
  }
  DisturbDaemons(aRuntime);
  auto latestEnd = episodeBegin_ + kLongestEpisode;
  auto end = latestEnd;
  while (clock_.Now() < end) {
    SendBoth(aRuntime, clock_.Now() + kStable);
    auto decisive = FindDecisiveCrash();
    end = decisive
            ? std::min(latestEnd, *decisive + kStable * 2 + kSoundCheckTime)
            : latestEnd;
  }
  while (running_ > 0) {
    net::Runtime::Sleep(kPollInterval);
  }
  CheckLateArrivals();
  for (std::size_t i = 0; i < bed_.options.sides; ++i) {
    bed_.upstreams[i]->faults.crashPart.clear();
  }
}

void
CrashPartInjector::SendBoth(net::Runtime& aRuntime, Millis aUntil)
{
  while (clock_.Now() < aUntil) {
    auto entry = random_() % bed_.entries.size();
    Spawn(aRuntime, [this, entry] {
      auto attempt = callers_.SendPrompt(
        entry, bed_.activeKeys.back(), "first:40," + badPart_ + ":20");
      badAttempts_[attempt.id] = entry;
    });
    Spawn(aRuntime, [this] { SendSound(); });
    net::Runtime::Sleep(Millis(Draw(random_, kMinCallGapMs, kMaxCallGapMs)));
  }
}

void
CrashPartInjector::SendSound()
{
  auto entry = random_() % bed_.entries.size();
  auto other = std::to_string(random_() % 4);
  CheckSound(callers_.SendPrompt(
    entry, bed_.activeKeys.back(), "first:40,sound" + other + ":20"));
}

// Suspends, ends or restarts some daemons, or ends all entries at once.
void
CrashPartInjector::DisturbDaemons(net::Runtime& aRuntime)
{
  auto count = Draw(random_, 0, kMaxDisturbances);
  for (int i = 0; i < count; ++i) {
    Millis delay(Draw(random_, 0, kMaxDisturbanceDelayMs));
    Millis downTime(Draw(random_, kMinDownMs, kMaxDownMs));
    auto daemon = random_() % processes_.CountDaemons();
    auto kind = random_() % 4;
    auto restartAll = [this, &aRuntime, downTime] {
      for (std::size_t entry = 0; entry < bed_.entries.size(); ++entry) {
        Spawn(aRuntime, [this, entry, downTime] {
          processes_.Restart(entry, SIGKILL, downTime);
        });
      }
    };
    Spawn(aRuntime, [this, delay, downTime, daemon, kind, restartAll] {
      net::Runtime::Sleep(delay);
      auto begin = clock_.Now();
      switch (kind) {
        case 0:
          ++injectedCounts_["pause"];
          processes_.Suspend(daemon, downTime);
          break;
        case 1:
          ++injectedCounts_["kill"];
          processes_.Restart(daemon, SIGKILL, downTime);
          break;
        case 2:
          ++injectedCounts_["terminate"];
          processes_.Restart(daemon, SIGTERM, downTime);
          break;
        default:
          ++injectedCounts_["kill_entries"];
          restartAll();
          break;
      }
      checker_.RecordFault({ "crash_part", begin, clock_.Now() });
    });
  }
}

std::optional<Millis>
CrashPartInjector::FindDecisiveCrash() const
{
  std::vector<Millis> crashes;
  for (std::size_t i = 0; i < bed_.options.sides; ++i) {
    std::ranges::copy_if(
      bed_.upstreams[i]->GetCrashes(),
      std::back_inserter(crashes),
      [this](Millis aCrash) { return aCrash >= episodeBegin_; });
  }
  if (crashes.empty()) {
    return std::nullopt;
  }
  std::ranges::sort(crashes);
  return crashes[std::min(crashes.size(), kCrashesToConvict) - 1];
}

void
CrashPartInjector::CheckLateArrivals()
{
  auto decisive = FindDecisiveCrash();
  if (!decisive) {
    return;
  }
  std::ptrdiff_t late = 0;
  for (std::size_t i = 0; i < bed_.options.sides; ++i) {
    late += std::ranges::count_if(
      bed_.upstreams[i]->GetCrashPartArrivals(),
      [&](const adapter::Arrival& aArrival) {
        auto entry = badAttempts_.find(aArrival.attempt);
        return aArrival.at > *decisive + kStable &&
               entry != badAttempts_.end() &&
               stability_.IsStable(entry->second, aArrival.at);
      });
  }
  if (late > kMaxLateArrivals) {
    checker_.AddViolation("reached engines after the bound with " + badPart_ +
                          ": " + std::to_string(late));
  }
}

void
CrashPartInjector::CheckSound(const Attempt& aAttempt)
{
  auto decisive = FindDecisiveCrash();
  bool counts = decisive && aAttempt.sentAt > *decisive + kStable * 2 &&
                stability_.IsStable(aAttempt.entry, aAttempt.endedAt);
  bool isQuarantined =
    aAttempt.status != kOk &&
    aAttempt.body.find("upstreams crashed while") != std::string::npos;
  if (counts && isQuarantined) {
    checker_.AddViolation("a sound request was refused for a part: " +
                          aAttempt.id + " " + aAttempt.body);
  }
}

} // namespace waxwingyoke::soak
