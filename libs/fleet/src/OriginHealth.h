#ifndef waxwingyoke_fleet_OriginHealth_h
#define waxwingyoke_fleet_OriginHealth_h

#include <telemetry/Logger.h>
#include <utils/Backoff.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/** Whether the origin of weights answers, and when to try it again. */
class OriginHealth
{
public:
  explicit OriginHealth(utils::Clock aClock = utils::Clock());

  /** A call ended; the reason tells why it failed. */
  void Note(bool aAnswers, const utils::Error& aReason);

  /** Another side was answered: this one need not wait to find out. */
  void NoteReturn();

  bool IsAnswering() const { return answers_; }
  bool IsUsable() const { return clock_.Now() >= usableFrom_; }

  /** The last failure; long ago if there was none. */
  utils::Millis GetFailedAt() const { return failedAt_; }

private:
  utils::Clock clock_;
  utils::Backoff backoff_;
  bool answers_ = true;
  utils::Millis usableFrom_;
  utils::Millis failedAt_;
  telemetry::Logger logger_{ "pieces" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_OriginHealth_h
