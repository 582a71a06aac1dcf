#ifndef waxwingyoke_dispatch_WindowBudget_h
#define waxwingyoke_dispatch_WindowBudget_h

#include <deque>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/**
 * Bounds second sends to one service in a sliding window: a share of this
 * entry's own first sends and a part of the fleet's slack. The entries' parts
 * add up to no more than the whole, so that none has to ask another.
 */
class WindowBudget
{
public:
  struct Terms
  {
    /** Second sends for each first one. */
    double ratio = 0;
    /** Second sends in a window beside those. */
    double slack = 0;
    utils::Millis window;
  };

  void SetTerms(const Terms& aTerms) { terms_ = aTerms; }

  void NoteFirst(utils::Millis aNow);

  /** Whether one more second send may be made; takes it if so. */
  bool Take(utils::Millis aNow);

private:
  /** Sends in one tenth of the window. */
  struct Slice
  {
    utils::Millis begin;
    double first = 0;
    double second = 0;
  };

  Slice& Current(utils::Millis aNow);

  Terms terms_;
  std::deque<Slice> slices_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_WindowBudget_h
