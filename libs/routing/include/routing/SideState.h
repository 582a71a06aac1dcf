#ifndef waxwingyoke_routing_SideState_h
#define waxwingyoke_routing_SideState_h

#include <atomic>
#include <cstdint>

#include <utils/Time.h>

namespace waxwingyoke::routing {

/**
 * What one entry knows of one process of a side from its own calls: load
 * and health. Written and read by all threads without a lock; a value that
 * is a moment old does no harm.
 */
class SideState
{
public:
  /** A request of this entry's goes there, or is done. */
  void Begin() { ++inFlight_; }
  void End() { --inFlight_; }

  /** The side said how many run there, all entries' together. */
  void SetReported(std::uint32_t aRunning);

  /** The report, corrected by what this entry sent and got back since. */
  std::int64_t GetLoad() const;

  /** An answer came; one failure less stands against it. */
  void OnSuccess(utils::Millis aNow);

  /** It failed as an upstream: ejected, the longer the oftener. */
  void OnFailure(utils::Millis aNow);

  bool IsEjected(utils::Millis aNow) const;

  /** From 0 when it returns to 1 when it takes its full part again. */
  double GetShare(utils::Millis aNow) const;

private:
  std::atomic<std::int64_t> inFlight_{ 0 };
  std::atomic<std::int64_t> reported_{ 0 };
  std::atomic<std::int64_t> inFlightAtReport_{ 0 };
  std::atomic<std::int64_t> failures_{ 0 };
  std::atomic<std::int64_t> ejectedUntil_{ 0 };
  /** 0: it never was ejected. */
  std::atomic<std::int64_t> returnedAt_{ 0 };
};

} // namespace waxwingyoke::routing

#endif // waxwingyoke_routing_SideState_h
