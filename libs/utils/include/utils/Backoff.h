#ifndef waxwingyoke_utils_Backoff_h
#define waxwingyoke_utils_Backoff_h

#include <algorithm>

#include <utils/Time.h>

namespace waxwingyoke::utils {

/**
 * Exponential backoff: the delay doubles with each consecutive failure, up to
 * a maximum. Not thread-safe.
 */
class Backoff
{
public:
  Backoff(Millis aFirst, Millis aLongest)
    : first_(aFirst)
    , longest_(aLongest)
    , next_(aFirst)
  {
  }

  /** Returns the delay before the next attempt and lengthens the one after. */
  Millis NextDelay()
  {
    auto pause = next_;
    next_ = std::min(next_ * 2, longest_);
    return pause;
  }

  /** Restarts at the first delay; to be called after a success. */
  void Reset() { next_ = first_; }

  Millis GetFirst() const { return first_; }

private:
  Millis first_;
  Millis longest_;
  Millis next_;
};

} // namespace waxwingyoke::utils

#endif // waxwingyoke_utils_Backoff_h
