#ifndef waxwingyoke_fleet_OriginHealth_h
#define waxwingyoke_fleet_OriginHealth_h

#include <telemetry/Logger.h>
#include <utils/Backoff.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/**
 * Tracks whether the weight origin answers. After a failure it is not to be
 * used until a pause has passed: a short, constant one for the side that probes
 * the origin for its region, a growing one for all others, which that side's
 * announcements notify of the recovery.
 */
class OriginHealth
{
public:
  explicit OriginHealth(utils::Clock aClock = utils::Clock());

  /** Records the result of a call; aReason is used if it failed. */
  void RecordResult(bool aSucceeded, const utils::Error& aReason);

  /** Ends the backoff pause, as another side got an answer of the origin. */
  void MarkUsable();

  void SetProber(bool aIsProber) { isProber_ = aIsProber; }

  bool IsAnswering() const { return isAnswering_; }
  bool IsUsable() const { return clock_.Now() >= usableFrom_; }

  /**
   * Start of the time in which sides use the origin by rank: the last failure,
   * or the recovery that another side announced; 0 if there was neither.
   */
  utils::Millis GetRanksSince() const { return ranksSince_; }

private:
  utils::Clock clock_;
  utils::Backoff backoff_;
  bool isAnswering_ = true;
  utils::Millis usableFrom_;
  utils::Millis ranksSince_;
  bool isProber_ = false;
  telemetry::Logger logger_{ "pieces" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_OriginHealth_h
