#ifndef waxwingyoke_soak_ProcessFaults_h
#define waxwingyoke_soak_ProcessFaults_h

#include <vector>

#include "InvariantChecker.h"
#include "SoakBed.h"
#include "VersionLimitCheck.h"

namespace waxwingyoke::soak {

/**
 * Suspends, ends and restarts daemons, and records when their entries were
 * disturbed. Daemons are numbered, entries first.
 */
class ProcessFaults
{
public:
  ProcessFaults(SoakBed& aBed,
                InvariantChecker& aChecker,
                VersionLimitCheck& aVersionLimit);

  std::size_t CountDaemons() const;

  /** Blocks until the daemon is resumed; suspensions may overlap. */
  void Suspend(std::size_t aDaemon, utils::Millis aDuration);

  /**
   * Ends the daemon by SIGTERM or SIGKILL and starts it again after aDownTime.
   * Does nothing while it is already being restarted.
   */
  void Restart(std::size_t aDaemon, int aSignal, utils::Millis aDownTime);

  /**
   * Sends a signal that does not end it, once it handles the signal; before
   * that the signal would end any program.
   */
  void Signal(std::size_t aDaemon, int aSignal);

private:
  struct State
  {
    int suspensions = 0;
    bool isRestarting = false;
  };

  bool IsEntry(std::size_t aDaemon) const;
  Daemon& GetDaemon(std::size_t aDaemon);
  /** Ends the entry's disturbance that began at aBegin. */
  void RecordDisturbance(std::size_t aDaemon,
                         utils::Millis aBegin,
                         bool aIsSuspension);

  SoakBed& bed_;
  InvariantChecker& checker_;
  VersionLimitCheck& versionLimit_;
  utils::Clock clock_;
  std::vector<State> states_;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_ProcessFaults_h
