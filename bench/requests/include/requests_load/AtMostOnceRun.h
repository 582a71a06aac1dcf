#ifndef waxwingyoke_requests_load_AtMostOnceRun_h
#define waxwingyoke_requests_load_AtMostOnceRun_h

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <bed/Bed.h>
#include <utils/Time.h>

namespace waxwingyoke::requests_load {

/** A fault of the request path: functions that inject and remove it. */
struct PathFault
{
  std::string name;
  std::function<void(bed::Bed&)> begin;
  std::function<void(bed::Bed&)> end;
};

/** Returns the faults to inject cyclically in this order. They need a test bed
 * with proxied links. */
std::vector<PathFault>
MakePathFaults();

/** Outcome of calls that must run at most once. */
struct AtMostOnceResult
{
  std::size_t calls = 0;
  std::size_t complete = 0;
  /** Calls all of whose answers state that they did not run. */
  std::size_t refusedNotRun = 0;
  /** Calls without a complete answer that may have run. */
  std::size_t unknown = 0;
  // The counts from here to late must stay 0.
  /** Calls that ran more than once. */
  std::size_t ranMoreThanOnce = 0;
  /** Calls that ran though every answer stated that they did not. */
  std::size_t ranButReportedNotRun = 0;
  /** Calls with a complete answer that never ran. */
  std::size_t completeButNotRun = 0;
  /** Calls with an answer that belongs to another call. */
  std::size_t wrongAnswer = 0;
  /** Calls that took too much longer than their deadline. */
  std::size_t late = 0;
  /** Number of answers that were not complete, by the error's name. */
  std::map<std::string, std::size_t> errors;

  std::size_t CountBroken() const
  {
    return ranMoreThanOnce + ranButReportedNotRun + completeButNotRun +
           wrongAnswer + late;
  }
};

/** Options of a run of calls to the plain services under faults. */
struct AtMostOnceOptions
{
  std::size_t calls = 1000;
  std::size_t callers = 16;
  /** Every n-th call has an idempotency key and is sent twice; 0: none. */
  std::size_t keyedEvery = 2;
  /** Pause between two calls of a caller. */
  utils::Millis pause{ 100 };
  utils::Millis deadline{ 8000 };
  utils::Millis faultTime{ 700 };
  utils::Millis pauseBetweenFaults{ 300 };
};

/**
 * Makes calls that are not idempotent while the faults are injected one after
 * the other, then compares the callers' answers with what the services ran.
 */
AtMostOnceResult
RunAtMostOnce(bed::Bed& aBed,
              const AtMostOnceOptions& aOptions,
              const std::vector<PathFault>& aFaults);

} // namespace waxwingyoke::requests_load

#endif // waxwingyoke_requests_load_AtMostOnceRun_h
