#ifndef waxwingyoke_fleet_StallMonitor_h
#define waxwingyoke_fleet_StallMonitor_h

#include <optional>

#include <telemetry/Logger.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/**
 * Detects that the process did not run for a time: its VM was suspended, or the
 * process was stopped or got no processor time. What it holds of other
 * processes and of the log is then older than their messages suggest.
 */
class StallMonitor
{
public:
  /** Check is to be called once in aInterval. */
  explicit StallMonitor(
    utils::Millis aInterval,
    utils::Clock aClock = utils::Clock::CountingSuspension());

  /** Logs and counts a stall since the last call; returns its duration. */
  std::optional<utils::Millis> Check();

private:
  utils::Millis interval_;
  utils::Clock clock_;
  utils::Millis checkedAt_;
  telemetry::Logger logger_{ "process" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_StallMonitor_h
