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
 * Hands an answer on to the caller so that only a whole one looks whole.
 *
 * An event stream goes out as it comes, but for its end mark, which waits
 * for the answer to be checked; every other answer goes out when it is.
 *
 * A stream that broke goes on with another attempt's: its first events are
 * compared with those that were given, and not given again.
 */
class CallerSink
{
public:
  /** aNeedsEndMark: a stream is whole only with OpenAI's end mark. */
  CallerSink(net::ResponseWriter& aWriter, bool aNeedsEndMark);

  /** False once the caller is gone. */
  bool OnHead(const schema::AnswerHead& aHead);
  bool OnData(std::string_view aData);

  /** Whether what must end with an end mark does so. */
  bool HasEndMark() const;

  /** The answer is whole. */
  void Finish();

  /** There is none: an error's answer, or an error event in a stream. */
  void Fail(const utils::Error& aError, utils::Millis aRetryAfter);

  /** Drops what was buffered before another attempt. */
  void Reset();

  /** Whether another attempt's stream began unlike what was given. */
  bool IsParted() const { return parted_; }

  bool IsCallerGone() { return writer_.IsPeerGone(); }

  /** Whether the caller saw any of the answer. */
  bool HasGiven() const { return given_; }

  /** Events that the caller was given. */
  std::size_t GetEvents() const { return marks_.size(); }

private:
  bool WriteEvents();
  void SkipReplayed();

  net::ResponseWriter& writer_;
  bool needsEndMark_;
  std::optional<schema::AnswerHead> head_;
  bool isStream_ = false;
  bool given_ = false;
  bool parted_ = false;
  /** A hash of each event that was given. */
  std::vector<std::uint64_t> marks_;
  /** How many of them this attempt has repeated. */
  std::size_t replayed_ = 0;
  /** A stream's last event, or the whole of another answer. */
  std::string held_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_CallerSink_h
