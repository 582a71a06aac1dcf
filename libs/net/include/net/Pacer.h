#ifndef waxwingyoke_net_Pacer_h
#define waxwingyoke_net_Pacer_h

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>

#include <utils/Time.h>

namespace waxwingyoke::net {

/**
 * A token bucket of bytes: tells how long to wait before each part. Pure of
 * the clock and of sleeping.
 */
class TokenBucket
{
public:
  /** aBytesPerSecond 0 is unlimited. */
  explicit TokenBucket(std::uint64_t aBytesPerSecond);

  /** Takes aBytes and returns the wait before they may move. */
  utils::Millis Take(std::size_t aBytes, utils::Millis aNow);

  void SetRate(std::uint64_t aBytesPerSecond) { rate_ = aBytesPerSecond; }
  std::uint64_t GetRate() const { return rate_; }

private:
  std::uint64_t rate_;
  /** When everything taken so far has moved; microseconds. */
  std::int64_t busyUntil_ = 0;
};

/** Holds the bytes of a link, both ways together, to its budget. */
class Pacer
{
public:
  explicit Pacer(std::uint64_t aBytesPerSecond,
                 utils::Clock aClock = utils::Clock());

  /** Takes aBytes and returns the wait before they may move. */
  utils::Millis Take(std::size_t aBytes);

  /** Suspends the fiber until aBytes of background transfer may move. */
  void Wait(std::size_t aBytes);

  /** Takes live bytes at once, without a lock; background bytes wait longer. */
  void Charge(std::size_t aBytes);

  /** Another budget from now on; 0 is unlimited. */
  void SetRate(std::uint64_t aBytesPerSecond);

  std::uint64_t GetRate() const;

private:
  utils::Clock clock_;
  // Live bytes since the last Take.
  std::atomic<std::size_t> charged_{ 0 };
  // Held for a few instructions, never over a suspension.
  mutable std::mutex mutex_;
  TokenBucket bucket_;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Pacer_h
