#ifndef waxwingyoke_requests_CallerSink_h
#define waxwingyoke_requests_CallerSink_h

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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

  bool IsCallerGone() { return writer_.IsPeerGone(); }

  /** Whether the caller saw any of the answer. */
  bool HasGiven() const { return given_; }

  /** Events that the caller was given. */
  std::uint64_t GetEvents() const { return events_; }

private:
  bool WriteEvents(std::string_view aData);

  net::ResponseWriter& writer_;
  bool needsEndMark_;
  std::optional<schema::AnswerHead> head_;
  bool isStream_ = false;
  bool given_ = false;
  std::uint64_t events_ = 0;
  /** A stream's last event, or the whole of another answer. */
  std::string held_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_CallerSink_h
