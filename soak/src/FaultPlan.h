#ifndef waxwingyoke_soak_FaultPlan_h
#define waxwingyoke_soak_FaultPlan_h

#include <map>
#include <random>
#include <string>

#include "Callers.h"
#include "Ledger.h"
#include "SoakBed.h"

namespace waxwingyoke::soak {

/** What is done to the system from outside. */
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
  LogAway,
  Publish,
  RotateKey,
  NameVersion,
  UpstreamBreaks,
  UpstreamLoses,
  UpstreamFails,
  UpstreamFull,
  Drain,
  DamagePiece,
  Count
};

/** Draws faults by a seed and plays them, in series and overlapping. */
class FaultPlan
{
public:
  FaultPlan(SoakBed& aBed, Callers& aCallers, Ledger& aLedger);

  /** Plays until aEnd, then lifts all and starts what has ended. */
  void Run(net::Runtime& aRuntime, utils::Millis aEnd);

  /** How often each fault was played. */
  const std::map<std::string, int>& GetPlayed() const { return played_; }

private:
  void Play(FaultKind aKind, std::uint64_t aDraw, utils::Millis aTime);
  void PlayLink(FaultKind aKind, std::uint64_t aDraw, utils::Millis aTime);
  void PlayProcess(FaultKind aKind, std::uint64_t aDraw, utils::Millis aTime);
  void PlayUpstream(FaultKind aKind, std::uint64_t aDraw, utils::Millis aTime);
  void RotateKey();
  void Restart(Daemon& aDaemon);

  SoakBed& bed_;
  Callers& callers_;
  Ledger& ledger_;
  utils::Clock clock_;
  std::mt19937_64 random_;
  std::map<std::string, int> played_;
  int running_ = 0;
  int keysMade_ = 0;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_FaultPlan_h
