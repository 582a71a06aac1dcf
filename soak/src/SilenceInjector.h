#ifndef waxwingyoke_soak_SilenceInjector_h
#define waxwingyoke_soak_SilenceInjector_h

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "InvariantChecker.h"
#include "SoakBed.h"

namespace waxwingyoke::soak {

/**
 * Has sound upstreams fall silent within their answers and go on, some of them
 * beside one of the same service that breaks answers off, while configurations
 * are published. Records both for InvariantChecker::CheckSilences.
 */
class SilenceInjector
{
public:
  SilenceInjector(SoakBed& aBed,
                  InvariantChecker& aChecker,
                  std::map<std::string, int>& aInjectedCounts);

  /** Injects until aEnd; blocks until all is over. */
  void Run(net::Runtime& aRuntime, utils::Millis aEnd);

private:
  using Random = std::mt19937_64;

  /** Injects at the upstreams from aFirst to before aLast, one service's. */
  void InjectRounds(Random aRandom,
                    std::size_t aFirst,
                    std::size_t aLast,
                    utils::Millis aEnd);
  /** Makes an upstream break off streams and answers. */
  void BreakOff(Random& aRandom, adapter::UpstreamFaults& aFaults);
  void PublishConfigs(Random aRandom, utils::Millis aEnd);
  void Spawn(net::Runtime& aRuntime, std::function<void()> aTask);

  SoakBed& bed_;
  InvariantChecker& checker_;
  std::map<std::string, int>& injectedCounts_;
  utils::Clock clock_;
  Random random_;
  int running_ = 0;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_SilenceInjector_h
