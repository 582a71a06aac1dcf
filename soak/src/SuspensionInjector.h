#ifndef waxwingyoke_soak_SuspensionInjector_h
#define waxwingyoke_soak_SuspensionInjector_h

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "InvariantChecker.h"
#include "ProcessFaults.h"
#include "SoakBed.h"

namespace waxwingyoke::soak {

/**
 * Draws series of suspensions of entries and sides around namings of versions,
 * some with a restart or a signal. Engines keep the old version for a time, so
 * that it is still served at its bound.
 */
class SuspensionInjector
{
public:
  SuspensionInjector(SoakBed& aBed,
                     ProcessFaults& aProcesses,
                     InvariantChecker& aChecker,
                     VersionLimitCheck& aVersionLimit,
                     std::map<std::string, int>& aInjectedCounts);

  /** Starts series until aEnd, then waits until each is over. */
  void Run(net::Runtime& aRuntime, utils::Millis aEnd);

  /** Names the next version. */
  void NameVersion();

private:
  using Random = std::mt19937_64;

  void InjectSeries(net::Runtime& aRuntime, std::uint64_t aSeed);
  /** The daemons that a series suspends. */
  std::vector<std::size_t> DrawDaemons(Random& aRandom) const;
  void SuspendAll(net::Runtime& aRuntime,
                  Random& aRandom,
                  const std::vector<std::size_t>& aDaemons);
  /** Restarts or signals a daemon in some of the series. */
  void DisturbOne(net::Runtime& aRuntime, Random& aRandom);
  std::vector<std::size_t> DrawEngines(Random& aRandom) const;
  /** Makes engines keep their version and hold requests for a time. */
  void HoldEngines(Random& aRandom, const std::vector<std::size_t>& aEngines);
  void ReleaseEngines(const std::vector<std::size_t>& aEngines);
  void Spawn(net::Runtime& aRuntime, std::function<void()> aTask);

  SoakBed& bed_;
  ProcessFaults& processes_;
  InvariantChecker& checker_;
  VersionLimitCheck& versionLimit_;
  std::map<std::string, int>& injectedCounts_;
  utils::Clock clock_;
  Random random_;
  /** Series that hold each engine. */
  std::vector<int> holders_;
  int running_ = 0;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_SuspensionInjector_h
