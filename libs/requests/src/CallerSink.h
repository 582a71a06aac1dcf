#ifndef waxwingyoke_requests_CallerSink_h
#define waxwingyoke_requests_CallerSink_h

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <net/HttpServer.h>
#include <schema/requests.pb.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

/**
 * Forwards an answer to the caller, such that an incomplete answer never looks
 * complete.
 *
 * Forwards an event stream as it arrives, except for its end mark, which is
 * held back until the answer is verified. Sends any other answer as a whole
 * once it is verified.
 *
 * Resumes a broken stream with the answer of another attempt: compares the new
 * attempt's first events with the events already sent and skips them.
 *
 * Used by one fiber.
 */
class CallerSink
{
public:
  /** aNeedsEndMark: a stream is complete only with OpenAI's end mark. */
  CallerSink(net::ResponseWriter& aWriter, bool aNeedsEndMark);

  /** Keeps the first head of the attempt; always returns true. */
  bool OnHead(const schema::AnswerHead& aHead);
  /** False if the caller disconnected or the stream diverged. */
  bool OnData(std::string_view aData);

  /**
   * Whether the answer may end here: a stream after its end mark or, if it has
   * none, not within an event.
   */
  bool IsComplete() const;

  /** Sends what is buffered and ends the answer, which is complete. */
  void Finish();

  /** Sends an error response, or an error event if a stream has begun. */
  void Fail(const utils::Error& aError, utils::Millis aRetryAfter);

  /** Discards buffered data before another attempt. */
  void Reset();

  /** Whether a retried stream differs from the events already sent. */
  bool HasDiverged() const { return diverged_; }

  bool IsCallerDisconnected() { return writer_.IsPeerDisconnected(); }

  /** Whether any part of the answer was sent to the caller. */
  bool HasSentData() const { return hasSentData_; }

  /** Number of events sent to the caller. */
  std::size_t GetSentEventCount() const { return sentEventHashes_.size(); }

private:
  bool WriteCompleteEvents();
  void SkipReplayedEvents();

  net::ResponseWriter& writer_;
  bool needsEndMark_;
  std::optional<schema::AnswerHead> head_;
  bool isStream_ = false;
  bool hasSentData_ = false;
  bool diverged_ = false;
  /** A hash of each event that was sent. */
  std::vector<std::uint64_t> sentEventHashes_;
  /** How many of them the current attempt has repeated. */
  std::size_t replayedEvents_ = 0;
  /** Incomplete or held-back events of a stream, or all of another answer. */
  std::string buffer_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_CallerSink_h
