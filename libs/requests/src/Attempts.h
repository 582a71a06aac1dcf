#ifndef waxwingyoke_requests_Attempts_h
#define waxwingyoke_requests_Attempts_h

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include <schema/requests.pb.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

class Answer;

/** Whether an attempt may begin. */
enum class BeginResult
{
  Begun,
  Barred,
  /** It began before; it must not begin again. */
  Known
};

/** Bounds of one Attempts table. */
struct AttemptsLimits
{
  /** How long an attempt or a bar is remembered at least, if room is. */
  utils::Millis retention{ 30 * 60 * 1000 };
  std::size_t maxEntries = 8192;
  std::size_t maxBars = 8192;
  /** Bytes of finished answers that are held for repeats. */
  std::size_t heldBytes = 2 << 20;
  /** How long a finished answer is held at most. */
  utils::Millis holdTime{ 15 * 60 * 1000 };
};

/**
 * What one side remembers of attempts: the one place that decides whether
 * an attempt began. An id that is asked about before it began is barred, so
 * "not run" stays true ever after.
 *
 * A bar is kept for its whole time, since its attempt may still be on the
 * way; where no more bars have room, a question is answered FORGOTTEN.
 * What else was forgotten to save room can't be told from what was never seen;
 * so a question says how old its attempt is, and one that reaches back to
 * forgotten times is answered FORGOTTEN.
 */
class Attempts
{
public:
  explicit Attempts(AttemptsLimits aLimits);

  BeginResult Begin(const std::string& aId,
                    std::shared_ptr<Answer> aAnswer,
                    utils::Millis aNow);

  /** The state; bars an id that never began. */
  schema::AttemptState Ask(const std::string& aId,
                           utils::Millis aAge,
                           utils::Millis aNow);

  /** The attempt is over; its answer, of that size, is held if it may be. */
  void Finish(const std::string& aId,
              schema::AttemptState aState,
              std::size_t aHeldBytes,
              utils::Millis aNow);

  /** Null where none is held. */
  std::shared_ptr<Answer> FindAnswer(const std::string& aId) const;

  /** Drops what is over its time or over the bounds. */
  void Expire(utils::Millis aNow);

  std::size_t GetHeldBytes() const { return heldBytes_; }

private:
  struct Entry
  {
    schema::AttemptState state = schema::RUNNING;
    std::shared_ptr<Answer> answer;
  };

  struct Seen
  {
    std::string id;
    utils::Millis time;
  };

  struct Held
  {
    std::string id;
    std::size_t bytes = 0;
    utils::Millis time;
  };

  void ExpireHeld(utils::Millis aNow);
  void ExpireBars(utils::Millis aNow);

  AttemptsLimits limits_;
  std::unordered_map<std::string, Entry> entries_;
  std::deque<Seen> seen_;
  std::deque<Seen> bars_;
  std::deque<Held> held_;
  std::size_t heldBytes_ = 0;
  /** Attempts first seen up to then may be forgotten. */
  utils::Millis forgottenUntil_{ -1 };
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Attempts_h
