#ifndef waxwingyoke_fleet_OriginHealth_h
#define waxwingyoke_fleet_OriginHealth_h

#include <telemetry/Logger.h>
#include <utils/Backoff.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/**
 * Tracks whether the weight origin answers. After a failure it is not to be
 * used until a backoff pause has passed.
 */
class OriginHealth
{
public:
  explicit OriginHealth(utils::Clock aClock = utils::Clock());

  /** Records the result of a call; aReason is used if it failed. */
  void RecordResult(bool aSucceeded, const utils::Error& aReason);

  /** Ends the backoff pause, as another side got an answer of the origin. */
  void MarkUsable();

  bool IsAnswering() const { return isAnswering_; }
  bool IsUsable() const { return clock_.Now() >= usableFrom_; }

  /** Time of the last failure; 0 if there was none. */
  utils::Millis GetFailedAt() const { return failedAt_; }

private:
  utils::Clock clock_;
  utils::Backoff backoff_;
  bool isAnswering_ = true;
  utils::Millis usableFrom_;
  utils::Millis failedAt_;
  telemetry::Logger logger_{ "pieces" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_OriginHealth_h
