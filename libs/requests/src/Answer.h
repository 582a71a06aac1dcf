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

/** The part of an Answer that a reader has not received yet. */
struct AnswerPart
{
  std::optional<schema::AnswerHead> head;
  std::string data;
  std::optional<schema::AnswerEnd> end;

  bool IsEmpty() const { return !head && data.empty() && !end; }
};

/**
 * Buffers the answer of one attempt. One fiber writes it, and any number of
 * fibers read it, each from any byte on, also after it ended. A reader whose
 * connection failed can thus resume on a new one without loss.
 */
class Answer
{
public:
  void SetHead(schema::AnswerHead aHead);

  /** Adds data; false if the answer is cancelled, has ended or would exceed
   * its maximum size. */
  bool Append(std::string_view aData);

  /** Ends the answer and sets the length and digest in aEnd; only the first
   * call has an effect. */
  void End(schema::AnswerEnd aEnd);

  /**
   * Returns what a reader that has aFrom bytes, and perhaps the head, has not
   * received; waits up to aTimeout for it. Empty on a timeout.
   */
  AnswerPart Wait(bool aHasHead, std::uint64_t aFrom, utils::Millis aTimeout);

  /** Requests the writer to stop: Append fails from now on. */
  void Cancel() { cancelled_ = true; }
  bool IsCancelled() const { return cancelled_; }

  void AddReader() { ++readers_; }
  void RemoveReader() { --readers_; }
  bool HasReaders() const { return readers_ > 0; }

  bool IsEnded();
  std::size_t GetBytes();

private:
  AnswerPart GetUnread(bool aHasHead, std::uint64_t aFrom) const;

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
