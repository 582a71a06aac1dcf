#ifndef waxwingyoke_dispatch_RetryAfterPlanner_h
#define waxwingyoke_dispatch_RetryAfterPlanner_h

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/**
 * Computes the Retry-After of refused requests of one service: the time at
 * which a slot is likely to be free. Each caller gets a time of its own, spaced
 * by the share of slots reserved for retries, so that a request retried at that
 * time is not refused again. Not thread-safe.
 */
class RetryAfterPlanner
{
public:
  /** A request of this service ended and freed its slot. */
  void RecordRelease(utils::Millis aNow);

  /**
   * Delay from aNow after which a caller that is refused now should retry;
   * reserves that time.
   */
  utils::Millis PlanRetry(utils::Millis aNow);

  /**
   * The same where no upstream takes a request before aEarliest, and one each
   * aInterval after it; 0: any number at once.
   */
  utils::Millis PlanRetryAt(utils::Millis aEarliest,
                            utils::Millis aInterval,
                            utils::Millis aNow);

private:
  double GetReleaseRate(utils::Millis aNow) const;

  /** Moving mean of the interval between two releases, ms. */
  double meanGapMs_ = 0;
  utils::Millis lastRelease_;
  utils::Millis nextRetry_;
  /** The same for PlanRetryAt. */
  utils::Millis nextOpening_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_RetryAfterPlanner_h
