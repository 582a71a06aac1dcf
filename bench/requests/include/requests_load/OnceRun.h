#ifndef waxwingyoke_requests_load_OnceRun_h
#define waxwingyoke_requests_load_OnceRun_h

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <bed/Bed.h>
#include <utils/Time.h>

namespace waxwingyoke::requests_load {

/** One fault of the request path: how it comes and how it goes. */
struct PathFault
{
  std::string name;
  std::function<void(bed::Bed&)> begin;
  std::function<void(bed::Bed&)> end;
};

/** The faults that a run of calls meets, in this order, again and again;
 * they need a proxied bed. */
std::vector<PathFault>
MakePathFaults();

/** What became of calls that must run at most once. */
struct OnceResult
{
  std::size_t calls = 0;
  std::size_t whole = 0;
  std::size_t refusedNotRun = 0;
  std::size_t unknown = 0;
  /** Each of these must stay 0. */
  std::size_t ranTwice = 0;
  std::size_t falseNotRun = 0;
  std::size_t wholeNotRun = 0;
  std::size_t crossed = 0;
  std::size_t late = 0;
  /** Answers that were no whole ones, by the error's name. */
  std::map<std::string, std::size_t> errors;

  std::size_t CountBroken() const
  {
    return ranTwice + falseNotRun + wholeNotRun + crossed + late;
  }
};

/** A run of calls to the plain services under faults. */
struct OnceOptions
{
  std::size_t calls = 1000;
  std::size_t callers = 16;
  /** Every n-th call has a key and is sent twice; 0: none. */
  std::size_t keyedEvery = 2;
  /** Between two calls of one caller. */
  utils::Millis pause{ 100 };
  utils::Millis deadline{ 8000 };
  utils::Millis faultTime{ 700 };
  utils::Millis quietTime{ 300 };
};

/**
 * Makes calls that are not idempotent while fault after fault comes and
 * goes, then compares what callers were told with what the services ran.
 */
OnceResult
RunOnce(bed::Bed& aBed,
        const OnceOptions& aOptions,
        const std::vector<PathFault>& aFaults);

} // namespace waxwingyoke::requests_load

#endif // waxwingyoke_requests_load_OnceRun_h
