#include "ProcessFaults.h"

#include <csignal>

#include <net/Runtime.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

// The grace time of MakeDaemonSettings plus the time that a start takes.
constexpr Millis kStopTimeout(6000);

} // namespace

ProcessFaults::ProcessFaults(SoakBed& aBed,
                             InvariantChecker& aChecker,
                             VersionLimitCheck& aVersionLimit)
  : bed_(aBed)
  , checker_(aChecker)
  , versionLimit_(aVersionLimit)
  , states_(CountDaemons())
{
  // All daemons have just been started.
  for (std::size_t entry = 0; entry < bed_.entries.size(); ++entry) {
    RecordDisturbance(entry, clock_.Now(), false);
  }
}

std::size_t
ProcessFaults::CountDaemons() const
{
  return bed_.entries.size() + bed_.sides.size();
}

bool
ProcessFaults::IsEntry(std::size_t aDaemon) const
{
  return aDaemon < bed_.entries.size();
}

Daemon&
ProcessFaults::GetDaemon(std::size_t aDaemon)
{
  return IsEntry(aDaemon) ? bed_.entries[aDaemon]
                          : bed_.sides[aDaemon - bed_.entries.size()];
}

void
ProcessFaults::RecordDisturbance(std::size_t aDaemon,
                                 Millis aBegin,
                                 bool aIsSuspension)
{
  if (IsEntry(aDaemon)) {
    versionLimit_.RecordDisturbance(
      { aDaemon, aBegin, clock_.Now(), aIsSuspension });
  }
}

void
ProcessFaults::Suspend(std::size_t aDaemon, Millis aDuration)
{
  auto& daemon = GetDaemon(aDaemon);
  if (!daemon.process || !daemon.process->IsRunning()) {
    return;
  }
  auto begin = clock_.Now();
  ++states_[aDaemon].suspensions;
  daemon.process->Signal(SIGSTOP);
  net::Runtime::Sleep(aDuration);
  if (--states_[aDaemon].suspensions == 0 && daemon.process) {
    daemon.process->Signal(SIGCONT);
  }
  RecordDisturbance(aDaemon, begin, true);
}

void
ProcessFaults::Restart(std::size_t aDaemon, int aSignal, Millis aDownTime)
{
  auto& daemon = GetDaemon(aDaemon);
  if (states_[aDaemon].isRestarting || !daemon.process ||
      !daemon.process->IsRunning()) {
    return;
  }
  auto begin = clock_.Now();
  states_[aDaemon].isRestarting = true;
  if (aSignal == SIGTERM && IsEntry(aDaemon)) {
    checker_.RecordStop(aDaemon, begin);
  }
  daemon.process->Signal(aSignal);
  if (aSignal == SIGTERM && !daemon.process->WaitForEnd(kStopTimeout)) {
    daemon.process->Signal(SIGKILL);
  }
  net::Runtime::Sleep(aDownTime);
  // Until the old process has ended, its addresses are in use.
  daemon.process->WaitForEnd(kStopTimeout);
  utils::Error reason;
  if (!bed_.StartDaemon(daemon, reason)) {
    checker_.AddViolation("a daemon can't be restarted: " + reason.detail);
  }
  RecordDisturbance(aDaemon, begin, false);
  states_[aDaemon].isRestarting = false;
}

void
ProcessFaults::Signal(std::size_t aDaemon, int aSignal)
{
  constexpr Millis kPollInterval(5);
  // Its process may be replaced during the wait.
  auto& daemon = GetDaemon(aDaemon);
  auto end = clock_.Now() + kStopTimeout;
  while (clock_.Now() < end) {
    if (daemon.process && daemon.process->HandlesSignal(aSignal)) {
      daemon.process->Signal(aSignal);
      return;
    }
    net::Runtime::Sleep(kPollInterval);
  }
}

} // namespace waxwingyoke::soak
