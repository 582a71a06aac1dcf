#ifndef waxwingyoke_requests_AttemptRegistry_h
#define waxwingyoke_requests_AttemptRegistry_h

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

/** The result of AttemptRegistry::Begin. */
enum class BeginResult
{
  /** The attempt is registered and may run. */
  Begun,
  /** A query barred the id before; the attempt must not run. */
  Barred,
  /** The id was registered before; the attempt must not run again. */
  AlreadyBegun
};

/** Bounds of one AttemptRegistry. */
struct AttemptLimits
{
  /** Least time that attempts and bars are retained, within the bounds. */
  utils::Millis retention{ 30 * 60 * 1000 };
  std::size_t maxRecords = 8192;
  std::size_t maxBars = 8192;
  /** Total size of finished answers that are held for repeated requests. */
  std::size_t maxHeldBytes = 2 << 20;
  utils::Millis maxHoldTime{ 15 * 60 * 1000 };
};

/**
 * The attempts of one side: the only authority on whether an attempt began. A
 * query for an id that has not begun bars the id, so that the result "not run"
 * stays true if the attempt is received later.
 *
 * A bar is kept for its full retention, because its attempt may still be in
 * transit; while all bars are in use, such a query returns FORGOTTEN. An
 * evicted attempt can't be distinguished from one that was never received.
 * Therefore a query includes the attempt's age, and FORGOTTEN is returned for
 * one that was sent before the newest evicted attempt began.
 *
 * Not thread safe; see ShardedAttemptRegistry.
 */
class AttemptRegistry
{
public:
  explicit AttemptRegistry(AttemptLimits aLimits);

  /** Registers an attempt as running; it may run only on Begun. */
  BeginResult Begin(const std::string& aId,
                    std::shared_ptr<Answer> aAnswer,
                    utils::Millis aNow);

  /**
   * The state of the attempt that was sent aAge ago; an id that has not begun
   * is barred.
   */
  schema::AttemptState QueryOrBar(const std::string& aId,
                                  utils::Millis aAge,
                                  utils::Millis aNow);

  /**
   * Records the final state of an attempt. Its answer, of aAnswerBytes, is held
   * within the limits.
   */
  void Finish(const std::string& aId,
              schema::AttemptState aState,
              std::size_t aAnswerBytes,
              utils::Millis aNow);

  /** The answer of a running or finished attempt; null if not held. */
  std::shared_ptr<Answer> FindAnswer(const std::string& aId) const;

  /** Evicts answers, bars and finished attempts that exceed the limits. */
  void Expire(utils::Millis aNow);

  std::size_t GetHeldBytes() const { return heldBytes_; }

private:
  struct Record
  {
    schema::AttemptState state = schema::RUNNING;
    std::shared_ptr<Answer> answer;
  };

  /** An id and when its attempt began or was barred. */
  struct TimedId
  {
    std::string id;
    utils::Millis time;
  };

  struct HeldAnswer
  {
    std::string id;
    std::size_t bytes = 0;
    utils::Millis time;
  };

  void ExpireHeld(utils::Millis aNow);
  void ExpireBars(utils::Millis aNow);

  AttemptLimits limits_;
  std::unordered_map<std::string, Record> records_;
  /** Oldest first; Expire moves running attempts to the back. */
  std::deque<TimedId> begun_;
  std::deque<TimedId> bars_;
  std::deque<HeldAnswer> heldAnswers_;
  std::size_t heldBytes_ = 0;
  /** Attempts that began up to this time may have been evicted. */
  utils::Millis evictedUntil_{ -1 };
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_AttemptRegistry_h
