#ifndef waxwingyoke_dispatch_UpstreamHealth_h
#define waxwingyoke_dispatch_UpstreamHealth_h

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** What a request saw of the upstream that it was sent to. */
enum class Outcome
{
  Served,
  /** It answered with a failure of its own, or broke its answer off. */
  Failed,
  /** No connection could be made, or nothing came over it. */
  Unreachable,
  /** It proved that it did not run the request. */
  Refused
};

/**
 * Judges one upstream by what requests saw there: out of use for a while
 * after failures, longer each time, and back with little work at first.
 */
class UpstreamHealth
{
public:
  void Note(Outcome aOutcome, utils::Millis aNow);

  /** It is to be left alone until then, as its own answer said. */
  void AvoidUntil(utils::Millis aTime);

  /** Whether requests may go there. */
  bool IsUsable(utils::Millis aNow) const;

  /** Share of the last requests that failed there. */
  double GetFailedShare() const { return failedShare_; }

private:
  void Eject(utils::Millis aNow);

  double failedShare_ = 0;
  int samples_ = 0;
  int unreachableInARow_ = 0;
  int ejections_ = 0;
  utils::Millis usableFrom_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_UpstreamHealth_h
