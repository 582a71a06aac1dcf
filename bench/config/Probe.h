#ifndef waxwingyoke_bench_config_Probe_h
#define waxwingyoke_bench_config_Probe_h

#include <cstdint>
#include <map>
#include <string>

#include <bed/Bed.h>

namespace waxwingyoke::bench {

/** Resource use of one daemon, cumulative since its start except for rssMb. */
struct Usage
{
  double cpuSeconds = 0;
  double rssMb = 0;
  std::uint64_t netBytes = 0;
  /** Directory rows: sent in replies to sync requests, pushed to the parent. */
  std::uint64_t rowsSent = 0;
  std::uint64_t rowsPushed = 0;
};

/** Counters of all daemons of a test bed and of its log fake at one time. */
struct Sample
{
  std::int64_t timeMs = 0;
  std::map<std::string, Usage> nodes;
  std::uint64_t logReads = 0;
  std::uint64_t logAppends = 0;
};

/** Rates per second between two samples, over all nodes. */
struct Rates
{
  double cpuPercentMean = 0;
  double cpuPercentMax = 0;
  double bytesMean = 0;
  double bytesMax = 0;
  /** The node with bytesMax, and the directory rows it sent in that time. */
  std::string busiest;
  std::uint64_t busiestRowsSent = 0;
  std::uint64_t busiestRowsPushed = 0;
  double rssMbMax = 0;
  double logReads = 0;
  double logAppends = 0;
};

/** Reads the counters of all running daemons and of the log fake. */
Sample
TakeSample(bed::Bed& aBed);

/** Computes the rates between two samples; a node missing from the later one is
 * skipped. */
Rates
Compare(const Sample& aFrom, const Sample& aTo);

} // namespace waxwingyoke::bench

#endif // waxwingyoke_bench_config_Probe_h
