#ifndef waxwingyoke_fakes_FaultInjector_h
#define waxwingyoke_fakes_FaultInjector_h

#include <functional>
#include <random>

#include <fakes.pb.h>

#include <net/Router.h>
#include <utils/Time.h>

namespace waxwingyoke::fakes {

/**
 * Holds the faults and the counters of one fake. Not thread-safe: each fake
 * runs on a single thread.
 */
class FaultInjector
{
public:
  explicit FaultInjector(std::uint64_t aSeed);

  /** Adds the control interface: /faults and /counters. */
  void AddRoutes(net::Router& aRouter);

  /** Wraps a handler so that it is subject to the faults that all fakes share:
   * silence, delay, outage and lost answers. */
  net::HttpHandler Wrap(net::HttpHandler aHandler);

  /** Sets a function that completes the counters before they are returned. */
  void OnCounters(std::function<void(Counters&)> aHook);

  const Faults& GetFaults() const { return faults_; }
  void SetFaults(const Faults& aFaults) { faults_ = aFaults; }
  Counters& GetCounters() { return counters_; }

  /** Returns true for a pseudo-random share of the calls, by the seed. */
  bool ShouldInject(std::uint32_t aPerMille);

private:
  Faults faults_;
  Counters counters_;
  std::function<void(Counters&)> counterHook_;
  std::mt19937_64 random_;
};

/** Rate limiter whose rate is passed with each call and so may change at any
 * time. */
class TokenBucket
{
public:
  /** Consumes aAmount and returns true if the rate (per second) allows it; a
   * rate of 0 is unlimited. */
  bool Take(std::uint64_t aAmount, std::uint64_t aRate);

  /** Consumes aAmount and sleeps until the rate (per second) allows it; a rate
   * of 0 is unlimited. */
  void Pace(std::uint64_t aAmount, std::uint64_t aRate);

private:
  utils::Clock clock_;
  // Time until which the rate is already consumed, microseconds of clock_.
  std::int64_t usedUntil_ = 0;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_FaultInjector_h
