#ifndef waxwingyoke_utils_Time_h
#define waxwingyoke_utils_Time_h

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>

namespace waxwingyoke::utils {

/**
 * A duration or a point in time, in whole milliseconds.
 *
 * Points in time come from a Clock and are valid only within the process:
 * they must not be compared with those of another VM.
 *
 *     auto deadline = clock.Now() + Millis(250);
 */
struct Millis
{
  std::int64_t value = 0;

  constexpr Millis() = default;
  constexpr explicit Millis(std::int64_t aValue)
    : value(aValue)
  {
  }

  constexpr auto operator<=>(const Millis&) const = default;
  constexpr Millis operator+(Millis aOther) const
  {
    return Millis(value + aOther.value);
  }
  constexpr Millis operator-(Millis aOther) const
  {
    return Millis(value - aOther.value);
  }
  constexpr Millis operator*(std::int64_t aFactor) const
  {
    return Millis(value * aFactor);
  }
  constexpr Millis operator/(std::int64_t aDivisor) const
  {
    return Millis(value / aDivisor);
  }

  /** Converts for interfaces that take std::chrono. */
  constexpr std::chrono::milliseconds ToChrono() const
  {
    return std::chrono::milliseconds(value);
  }
};

/**
 * A time that another process states; cut at some hundred years, so that it is
 * never negative and sums with it don't overflow.
 */
constexpr Millis
BoundMillis(std::uint64_t aValue)
{
  constexpr std::uint64_t kMost = std::uint64_t{ 1 } << 43;
  return Millis(static_cast<std::int64_t>(aValue < kMost ? aValue : kMost));
}

/**
 * A monotonic source of milliseconds; copies share the source.
 *
 * Code whose decisions depend on time takes a Clock as a parameter, so that
 * tests can control the time.
 */
class Clock
{
public:
  using Source = std::function<Millis()>;

  /** The system's steady clock. */
  Clock();

  /** A steady clock that also counts the time while the VM is suspended. */
  static Clock CountingSuspension();

  /** A clock that calls aSource for the current time; for tests. */
  explicit Clock(Source aSource);

  /** Milliseconds since an arbitrary start; never decreases. */
  Millis Now() const { return source_(); }

private:
  Source source_;
};

/**
 * Milliseconds since 1970 by the wall clock, which may jump; for log lines,
 * records and the age of idempotency keys.
 */
Millis
GetWallTime();

} // namespace waxwingyoke::utils

#endif // waxwingyoke_utils_Time_h
