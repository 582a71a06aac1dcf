#ifndef waxwingyoke_net_Pacer_h
#define waxwingyoke_net_Pacer_h

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>

#include <utils/Time.h>

namespace waxwingyoke::net {

/**
 * A token bucket counted in bytes: computes how long to wait before sending
 * each part. It neither reads a clock nor sleeps.
 */
class TokenBucket
{
public:
  /** A rate of 0 is unlimited. */
  explicit TokenBucket(std::uint64_t aBytesPerSecond);

  /** Reserves aBytes and returns how long to wait before sending them. */
  utils::Millis Take(std::size_t aBytes, utils::Millis aNow);

  void SetRate(std::uint64_t aBytesPerSecond) { rate_ = aBytesPerSecond; }
  std::uint64_t GetRate() const { return rate_; }

private:
  std::uint64_t rate_;
  /** When all bytes reserved so far will have been sent, in microseconds. */
  std::int64_t busyUntil_ = 0;
};

/**
 * Limits the bytes of a link, both directions together, to a budget. Safe
 * from every thread.
 */
class Pacer
{
public:
  explicit Pacer(std::uint64_t aBytesPerSecond,
                 utils::Clock aClock = utils::Clock());

  /** Reserves aBytes and returns how long to wait before sending them. */
  utils::Millis Take(std::size_t aBytes);

  /** Suspends the fiber until aBytes of background transfer may be sent. */
  void Wait(std::size_t aBytes);

  /**
   * Counts bytes of live traffic, which is sent at once, without taking a
   * lock. Later background transfers wait longer for it.
   */
  void Charge(std::size_t aBytes);

  /** Changes the budget; 0 is unlimited. */
  void SetRate(std::uint64_t aBytesPerSecond);

  std::uint64_t GetRate() const;

private:
  utils::Clock clock_;
  // Bytes of live traffic since the last Take.
  std::atomic<std::size_t> charged_{ 0 };
  // Held only briefly and never while a fiber is suspended.
  mutable std::mutex mutex_;
  TokenBucket bucket_;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Pacer_h
