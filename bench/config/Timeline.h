#ifndef waxwingyoke_bench_config_Timeline_h
#define waxwingyoke_bench_config_Timeline_h

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingyoke::bench {

/** A node's log line that says up to which offset its config reaches. */
struct InForce
{
  std::int64_t timeMs = 0;
  std::uint64_t nextOffset = 0;
};

/** What the logs of one node's processes say, in the order of its lines. */
struct Timeline
{
  std::vector<InForce> steps;
  /** Steps to a lower offset within one process. */
  std::uint64_t reverts = 0;

  /** When aOffset was first in force; negative: never. */
  std::int64_t FindTime(std::uint64_t aNextOffset) const;
};

/** Reads a daemon's file of JSON lines. */
Timeline
ReadTimeline(const std::string& aLogFile);

} // namespace waxwingyoke::bench

#endif // waxwingyoke_bench_config_Timeline_h
