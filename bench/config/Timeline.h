#ifndef waxwingyoke_bench_config_Timeline_h
#define waxwingyoke_bench_config_Timeline_h

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingyoke::bench {

/** A log line with the offset up to which a node's configuration is applied. */
struct InForce
{
  std::int64_t timeMs = 0;
  std::uint64_t nextOffset = 0;
};

/** The configuration steps in the log of one node's processes, in order. */
struct Timeline
{
  std::vector<InForce> steps;
  /** Number of steps to a lower offset within one process. */
  std::uint64_t reverts = 0;

  /** Wall-clock time at which aNextOffset was first in force, ms; negative if
   * it never was. */
  std::int64_t FindTime(std::uint64_t aNextOffset) const;
};

/** Reads a daemon's log file of JSON lines. */
Timeline
ReadTimeline(const std::string& aLogFile);

} // namespace waxwingyoke::bench

#endif // waxwingyoke_bench_config_Timeline_h
