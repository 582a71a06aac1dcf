#ifndef waxwingyoke_utils_Backoff_h
#define waxwingyoke_utils_Backoff_h

#include <algorithm>

#include <utils/Time.h>

namespace waxwingyoke::utils {

/** Pauses between tries that fail: each twice as long as the one before. */
class Backoff
{
public:
  Backoff(Millis aFirst, Millis aLongest)
    : first_(aFirst)
    , longest_(aLongest)
    , next_(aFirst)
  {
  }

  /** The pause after one more failure. */
  Millis Take()
  {
    auto pause = next_;
    next_ = std::min(next_ * 2, longest_);
    return pause;
  }

  /** A try succeeded. */
  void Reset() { next_ = first_; }

  Millis GetFirst() const { return first_; }

private:
  Millis first_;
  Millis longest_;
  Millis next_;
};

} // namespace waxwingyoke::utils

#endif // waxwingyoke_utils_Backoff_h
