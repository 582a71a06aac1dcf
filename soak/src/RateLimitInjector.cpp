#include "RateLimitInjector.h"

#include <algorithm>
#include <array>
#include <csignal>

#include <net/Runtime.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

constexpr Millis kPollInterval(20);
// How long an upstream names one limit, and none after it. Most limits outlast
// the times for which nothing is checked: after they were named, and after a
// disturbance.
constexpr std::int64_t kMinLimitMs = 3000;
constexpr std::int64_t kMaxLimitMs = 12000;
constexpr std::int64_t kMaxPauseMs = 1500;
constexpr std::int64_t kMinIntervalMs = 300;
constexpr std::int64_t kMaxIntervalMs = 2000;
constexpr std::int64_t kMinDownMs = 200;
constexpr std::int64_t kMaxDownMs = 2500;

struct NamedRate
{
  const char* text;
  double rate;
};

constexpr std::array kRates{ NamedRate{ "0", 0 },
                             NamedRate{ "0.2", 0.2 },
                             NamedRate{ "1", 1 },
                             NamedRate{ "2.2", 2.2 },
                             NamedRate{ "8", 8 } };

std::int64_t
Draw(std::mt19937_64& aRandom, std::int64_t aFrom, std::int64_t aTo)
{
  return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(aRandom);
}

} // namespace

RateLimitInjector::RateLimitInjector(
  SoakBed& aBed,
  ProcessFaults& aProcesses,
  InvariantChecker& aChecker,
  std::map<std::string, int>& aInjectedCounts)
  : bed_(aBed)
  , processes_(aProcesses)
  , checker_(aChecker)
  , injectedCounts_(aInjectedCounts)
  , random_(aBed.options.seed)
{
}

void
RateLimitInjector::Run(net::Runtime& aRuntime, Millis aEnd)
{
  for (std::size_t i = 0; i < bed_.upstreams.size(); ++i) {
    // One upstream never names a limit, so that the service can recover.
    if (i > 0) {
      Spawn(aRuntime, [this, i, aEnd] { NameLimits(i, aEnd); });
    }
  }
  while (clock_.Now() < aEnd) {
    net::Runtime::Sleep(Millis(Draw(random_, kMinIntervalMs, kMaxIntervalMs)));
    DisturbOne(aRuntime);
  }
  while (running_ > 0) {
    net::Runtime::Sleep(kPollInterval);
  }
}

void
RateLimitInjector::Spawn(net::Runtime& aRuntime, std::function<void()> aTask)
{
  ++running_;
  aRuntime.Spawn([this, task = std::move(aTask)] {
    task();
    --running_;
  });
}

void
RateLimitInjector::NameLimits(std::size_t aUpstream, Millis aEnd)
{
  auto& upstream = *bed_.upstreams[aUpstream];
  while (clock_.Now() < aEnd) {
    net::Runtime::Sleep(Millis(Draw(random_, 0, kMaxPauseMs)));
    const auto& named = kRates[random_() % kRates.size()];
    ++injectedCounts_["rate_limit"];
    upstream.faults.rateLimits = { named.text };
    auto begin = clock_.Now();
    net::Runtime::Sleep(Millis(Draw(random_, kMinLimitMs, kMaxLimitMs)));
    checker_.RecordRateLimit(
      { upstream.ListArrivals(), named.rate, begin, clock_.Now() });
    upstream.faults.rateLimits.clear();
  }
}

void
RateLimitInjector::DisturbOne(net::Runtime& aRuntime)
{
  auto daemon = random_() % processes_.CountDaemons();
  auto kind = random_() % 3;
  Millis downTime(Draw(random_, kMinDownMs, kMaxDownMs));
  Spawn(aRuntime, [this, daemon, kind, downTime] {
    auto begin = clock_.Now();
    if (kind == 0) {
      ++injectedCounts_["pause"];
      processes_.Suspend(daemon, downTime);
    } else {
      ++injectedCounts_[kind == 1 ? "kill" : "terminate"];
      processes_.Restart(daemon, kind == 1 ? SIGKILL : SIGTERM, downTime);
    }
    if (kind != 2) {
      checker_.RecordFault({ "rate_limit", begin, clock_.Now(), true });
    }
  });
}

} // namespace waxwingyoke::soak
