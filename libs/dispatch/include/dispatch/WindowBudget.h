#ifndef waxwingyoke_dispatch_WindowBudget_h
#define waxwingyoke_dispatch_WindowBudget_h

#include <deque>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/**
 * Limits the resends to one service (sends of a request after its first) in a
 * sliding window, to a ratio of this entry's first sends plus its part of the
 * fleet's slack. The entries' parts add up to no more than the fleet's budget,
 * so that they need no coordination. Not thread-safe.
 */
class WindowBudget
{
public:
  struct BudgetLimits
  {
    /** Resends for each first send. */
    double ratio = 0;
    /** Additional resends in each window. */
    double slack = 0;
    utils::Millis window;
  };

  void SetLimits(const BudgetLimits& aLimits) { limits_ = aLimits; }

  void RecordFirstSend(utils::Millis aNow);

  /** Consumes one resend; false if the budget is exhausted. */
  bool Take(utils::Millis aNow);

private:
  /** Counts of sends in one tenth of the window. */
  struct Slice
  {
    utils::Millis begin;
    double firstSends = 0;
    double resends = 0;
  };

  Slice& GetCurrentSlice(utils::Millis aNow);

  BudgetLimits limits_;
  std::deque<Slice> slices_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_WindowBudget_h
