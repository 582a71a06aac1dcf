#ifndef waxwingyoke_fakes_FaultGate_h
#define waxwingyoke_fakes_FaultGate_h

#include <functional>
#include <random>

#include <fakes.pb.h>

#include <net/Router.h>
#include <utils/Time.h>

namespace waxwingyoke::fakes {

/**
 * The faults of one stand-in, and what it counts. Each stand-in runs on one
 * thread, so nothing here is guarded.
 */
class FaultGate
{
public:
  explicit FaultGate(std::uint64_t aSeed);

  /** Adds the control path: /faults and /counters. */
  void AddRoutes(net::Router& aRouter);

  /** A handler that meets the faults that all stand-ins share. */
  net::HttpHandler Wrap(net::HttpHandler aHandler);

  /** Called before the counters are shown. */
  void OnCounters(std::function<void(Counters&)> aHook);

  const Faults& GetFaults() const { return faults_; }
  void SetFaults(const Faults& aFaults) { faults_ = aFaults; }
  Counters& GetCounters() { return counters_; }

  /** True for a share of the calls, by the seed. */
  bool Draw(std::uint32_t aPerMille);

private:
  Faults faults_;
  Counters counters_;
  std::function<void(Counters&)> counterHook_;
  std::mt19937_64 random_;
};

/** Lets through what a rate allows; the rate may change at any time. */
class TokenBucket
{
public:
  /** Takes aAmount if the rate (a second) allows it; 0 is unlimited. */
  bool Take(std::uint64_t aAmount, std::uint64_t aRate);

  /** Takes aAmount, and sleeps for as long as that is too much. */
  void Pace(std::uint64_t aAmount, std::uint64_t aRate);

private:
  utils::Clock clock_;
  // Time up to which the rate is used up, microseconds of the clock.
  std::int64_t usedUntil_ = 0;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_FaultGate_h
