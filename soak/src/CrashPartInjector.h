#ifndef waxwingyoke_soak_CrashPartInjector_h
#define waxwingyoke_soak_CrashPartInjector_h

#include <map>
#include <optional>
#include <random>
#include <string>

#include "Callers.h"
#include "InvariantChecker.h"
#include "ProcessFaults.h"
#include "SoakBed.h"
#include "VersionLimitCheck.h"

namespace waxwingyoke::soak {

/**
 * Makes parts of prompts crash all engines, one part after the other, while
 * requests with it and sound ones arrive at all entries; in most episodes
 * daemons are suspended, ended and restarted beside, also all entries at once.
 * Checks that the part is stopped and that no sound request is.
 */
class CrashPartInjector
{
public:
  CrashPartInjector(SoakBed& aBed,
                    Callers& aCallers,
                    ProcessFaults& aProcesses,
                    InvariantChecker& aChecker,
                    VersionLimitCheck& aStability,
                    std::map<std::string, int>& aInjectedCounts);

  /** Plays episodes until aEnd, at least one; blocks until all is over. */
  void Run(net::Runtime& aRuntime, utils::Millis aEnd);

private:
  void PlayEpisode(net::Runtime& aRuntime);
  void SendBoth(net::Runtime& aRuntime, utils::Millis aUntil);
  void SendSound();
  void DisturbDaemons(net::Runtime& aRuntime);
  void Spawn(net::Runtime& aRuntime, std::function<void()> aTask);
  /** The crash of this episode from which the bounds count, if there is one. */
  std::optional<utils::Millis> FindDecisiveCrash() const;
  void CheckLateArrivals();
  void CheckSound(const Attempt& aAttempt);

  SoakBed& bed_;
  Callers& callers_;
  ProcessFaults& processes_;
  InvariantChecker& checker_;
  VersionLimitCheck& stability_;
  std::map<std::string, int>& injectedCounts_;
  utils::Clock clock_;
  std::mt19937_64 random_;
  int episodes_ = 0;
  utils::Millis episodeBegin_;
  std::string badPart_;
  /** The entries that requests with the part were sent to, by attempt. */
  std::map<std::string, std::size_t> badAttempts_;
  int running_ = 0;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_CrashPartInjector_h
