#ifndef waxwingyoke_dispatch_ReturnPlanner_h
#define waxwingyoke_dispatch_ReturnPlanner_h

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/**
 * Tells refused callers when there is likely room for them. Each gets a
 * moment of its own, spaced by the share of the room that is kept for those
 * who return: who comes back when told should not be refused again.
 */
class ReturnPlanner
{
public:
  /** A request of this service ended: room for one more. */
  void NoteRelease(utils::Millis aNow);

  /** When a caller that is refused now should return, from now. */
  utils::Millis PlanReturn(utils::Millis aNow);

private:
  double GetReleaseRate(utils::Millis aNow) const;

  /** Moving mean of the time between two releases, ms. */
  double meanGapMs_ = 0;
  utils::Millis lastRelease_;
  utils::Millis nextReturn_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_ReturnPlanner_h
