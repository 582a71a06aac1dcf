#ifndef waxwingyoke_soak_RateLimitInjector_h
#define waxwingyoke_soak_RateLimitInjector_h

#include <functional>
#include <map>
#include <random>
#include <string>

#include "InvariantChecker.h"
#include "ProcessFaults.h"
#include "SoakBed.h"
#include "VersionLimitCheck.h"

namespace waxwingyoke::soak {

/**
 * Has upstreams name rate limits, one after the other and several at once,
 * while daemons are suspended, ended and started. Records the limits for the
 * check of InvariantChecker::CheckRateLimits.
 */
class RateLimitInjector
{
public:
  RateLimitInjector(SoakBed& aBed,
                    ProcessFaults& aProcesses,
                    InvariantChecker& aChecker,
                    std::map<std::string, int>& aInjectedCounts);

  /** Injects until aEnd; blocks until all is over. */
  void Run(net::Runtime& aRuntime, utils::Millis aEnd);

private:
  void Spawn(net::Runtime& aRuntime, std::function<void()> aTask);
  /** Has one upstream name limits until aEnd, with times without one. */
  void NameLimits(std::size_t aUpstream, utils::Millis aEnd);
  void DisturbOne(net::Runtime& aRuntime);

  SoakBed& bed_;
  ProcessFaults& processes_;
  InvariantChecker& checker_;
  std::map<std::string, int>& injectedCounts_;
  utils::Clock clock_;
  std::mt19937_64 random_;
  int running_ = 0;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_RateLimitInjector_h
