#ifndef waxwingyoke_requests_Answer_h
#define waxwingyoke_requests_Answer_h

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <schema/requests.pb.h>
#include <utils/Digest.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

/** What a reader of an Answer gets at once. */
struct AnswerPart
{
  std::optional<schema::AnswerHead> head;
  std::string data;
  std::optional<schema::AnswerEnd> end;

  bool IsEmpty() const { return !head && data.empty() && !end; }
};

/**
 * The answer of one attempt while it grows and after: one fiber writes it,
 * any number read it from any byte on. So a reader whose connection went
 * silent comes back on a new one and misses nothing.
 */
class Answer
{
public:
  void SetHead(schema::AnswerHead aHead);

  /** False once the answer was cancelled or grows too large. */
  bool Append(std::string_view aData);

  /** Puts the end mark with length and digest; only the first call counts. */
  void End(schema::AnswerEnd aEnd);

  /** Waits up to aTimeout for what a reader at that place lacks. */
  AnswerPart Wait(bool aHasHead, std::uint64_t aFrom, utils::Millis aTimeout);

  /** Asks the writer to stop. */
  void Cancel() { cancelled_ = true; }
  bool IsCancelled() const { return cancelled_; }

  void AddReader() { ++readers_; }
  void RemoveReader() { --readers_; }
  bool HasReaders() const { return readers_ > 0; }

  bool IsEnded();
  std::size_t GetBytes();

private:
  AnswerPart Take(bool aHasHead, std::uint64_t aFrom) const;

  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  std::optional<schema::AnswerHead> head_;
  std::string data_;
  utils::DigestBuilder digest_;
  std::optional<schema::AnswerEnd> end_;
  std::atomic<bool> cancelled_{ false };
  std::atomic<int> readers_{ 0 };
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Answer_h
