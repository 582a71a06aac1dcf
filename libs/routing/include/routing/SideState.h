#ifndef waxwingyoke_routing_SideState_h
#define waxwingyoke_routing_SideState_h

#include <atomic>
#include <cstdint>

#include <utils/Time.h>

namespace waxwingyoke::routing {

/**
 * Load and health of one process of a side, as one entry observes them in its
 * own calls. Thread-safe without a lock: the values are independent atomics,
 * and slightly stale ones only affect the choice of a side.
 */
class SideState
{
public:
  /** Counts the requests that this entry has in flight there. */
  void Begin() { ++inFlight_; }
  void End() { --inFlight_; }

  /** Sets the requests of all entries that the side reports as running. */
  void SetReported(std::uint32_t aRunning);

  /**
   * The reported requests, corrected by those that this entry has sent and
   * completed since; at least those that it has in flight.
   */
  std::int64_t GetLoad() const;

  /** An attempt succeeded: reduces the failure count by one. */
  void OnSuccess(utils::Millis aNow);

  /**
   * An attempt failed because of the side: ejects it, with exponential backoff
   * by the failure count.
   */
  void OnFailure(utils::Millis aNow);

  bool IsEjected(utils::Millis aNow) const;

  /**
   * Share of its regular traffic that the side gets: 1 if it was never ejected;
   * after an ejection it ramps up from a small share to 1.
   */
  double GetTrafficShare(utils::Millis aNow) const;

private:
  std::atomic<std::int64_t> inFlight_{ 0 };
  std::atomic<std::int64_t> reported_{ 0 };
  std::atomic<std::int64_t> inFlightAtReport_{ 0 };
  std::atomic<std::int64_t> failures_{ 0 };
  std::atomic<std::int64_t> ejectedUntil_{ 0 };
  /** End of the last ejection; 0: it was never ejected. */
  std::atomic<std::int64_t> readmittedAt_{ 0 };
};

} // namespace waxwingyoke::routing

#endif // waxwingyoke_routing_SideState_h
