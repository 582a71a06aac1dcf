#ifndef waxwingyoke_utils_Time_h
#define waxwingyoke_utils_Time_h

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>

namespace waxwingyoke::utils {

/**
 * A time span or a point in time, in whole milliseconds.
 *
 * Points come from a Clock and mean nothing outside the process: two VMs
 * never compare theirs.
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

  /** The same span for interfaces that take std::chrono. */
  constexpr std::chrono::milliseconds ToChrono() const
  {
    return std::chrono::milliseconds(value);
  }
};

/**
 * A monotonic source of milliseconds; copies share the source.
 *
 * Decisions take a Clock so that tests can step the time by hand.
 */
class Clock
{
public:
  using Source = std::function<Millis()>;

  /** The machine's steady clock. */
  Clock();

  /** A steady clock that goes on while the VM is suspended. */
  static Clock CountingSuspension();

  /** A clock that reads from aSource, as tests do. */
  explicit Clock(Source aSource);

  /** Milliseconds since an arbitrary start; never goes back. */
  Millis Now() const { return source_(); }

private:
  Source source_;
};

/** Milliseconds since 1970 by the wall clock: for logs and for keys' ages. */
Millis
GetWallTime();

} // namespace waxwingyoke::utils

#endif // waxwingyoke_utils_Time_h
