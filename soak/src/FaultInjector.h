#ifndef waxwingyoke_soak_FaultInjector_h
#define waxwingyoke_soak_FaultInjector_h

#include <map>
#include <random>
#include <string>

#include "Callers.h"
#include "CrashPartInjector.h"
#include "InvariantChecker.h"
#include "LateOrderInjector.h"
#include "ProcessFaults.h"
#include "RateLimitInjector.h"
#include "SilenceInjector.h"
#include "SoakBed.h"
#include "SuspensionInjector.h"

namespace waxwingyoke::soak {

/** Faults and changes that are applied to the system from outside. */
enum class FaultKind
{
  LinkDelay,
  LinkCut,
  LinkHoldToTarget,
  LinkHoldToClient,
  LinkSilence,
  LinkCutAnswers,
  Pause,
  Kill,
  Terminate,
  LogUnavailable,
  Publish,
  RotateKey,
  NameVersion,
  UpstreamBreaksStreams,
  UpstreamDropsAnswers,
  UpstreamFailsRequests,
  UpstreamFull,
  Drain,
  DamagePiece,
  Count
};

/** Which faults a seed draws. */
enum class FaultMix
{
  /** All but series of suspensions. */
  Usual,
  /** Series of suspensions around namings, links and log sound. */
  Suspensions,
  Both,
  /** Parts of prompts that crash engines, and faults of processes beside. */
  CrashParts,
  /** Rate limits of upstreams, and faults of processes beside. */
  RateLimits,
  /** None but silences of upstreams, which are drawn beside other mixes, too.
   */
  OnlySilences
};

/** Draws a random sequence of faults from the seed; several overlap. */
class FaultInjector
{
public:
  FaultInjector(SoakBed& aBed,
                Callers& aCallers,
                InvariantChecker& aChecker,
                VersionLimitCheck& aVersionLimit);

  /**
   * Injects faults until aEnd, then waits until each is over and the daemons
   * that it ended are restarted, and clears all link faults.
   */
  void Run(net::Runtime& aRuntime, utils::Millis aEnd);

  /** Number of injections by fault name. */
  const std::map<std::string, int>& GetInjectedCounts() const
  {
    return injectedCounts_;
  }

private:
  /** Whether engines accept orders late in this seed. */
  bool HasLateOrders() const;
  FaultMix PickMix() const;
  void InjectMix(net::Runtime& aRuntime, utils::Millis aEnd, FaultMix aMix);
  void InjectUsual(net::Runtime& aRuntime, utils::Millis aEnd);
  void Inject(FaultKind aKind, std::uint64_t aDraw, utils::Millis aDuration);
  void InjectLinkFault(FaultKind aKind,
                       std::uint64_t aDraw,
                       utils::Millis aDuration);
  void InjectProcessFault(FaultKind aKind,
                          std::uint64_t aDraw,
                          utils::Millis aDuration);
  void InjectUpstreamFault(FaultKind aKind,
                           std::uint64_t aDraw,
                           utils::Millis aDuration);
  void MakeLogUnavailable(std::uint64_t aDraw, utils::Millis aDuration);
  void RotateKey();

  SoakBed& bed_;
  Callers& callers_;
  InvariantChecker& checker_;
  VersionLimitCheck& versionLimit_;
  ProcessFaults processes_;
  utils::Clock clock_;
  std::mt19937_64 random_;
  std::map<std::string, int> injectedCounts_;
  SuspensionInjector suspensions_;
  CrashPartInjector crashParts_;
  RateLimitInjector rateLimits_;
  SilenceInjector silences_;
  LateOrderInjector lateOrders_;
  int running_ = 0;
  int keysMade_ = 0;
  bool isLogCopyInUse_ = false;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_FaultInjector_h
