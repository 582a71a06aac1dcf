#ifndef waxwingyoke_bench_config_Probe_h
#define waxwingyoke_bench_config_Probe_h

#include <cstdint>
#include <map>
#include <string>

#include <bed/Bed.h>

namespace waxwingyoke::bench {

/** One process's use of the machine up to now. */
struct Usage
{
  double cpuSeconds = 0;
  double rssMb = 0;
  std::uint64_t netBytes = 0;
  /** Rows of the directory, to nodes below and above in the tree. */
  std::uint64_t rowsSent = 0;
  std::uint64_t rowsPushed = 0;
};

/** All daemons of a bed and the log at one time. */
struct Sample
{
  std::int64_t timeMs = 0;
  std::map<std::string, Usage> nodes;
  std::uint64_t logReads = 0;
  std::uint64_t logAppends = 0;
};

/** What lies between two samples. */
struct Rates
{
  double cpuPercentMean = 0;
  double cpuPercentMax = 0;
  double bytesMean = 0;
  double bytesMax = 0;
  /** The node that spent these, and the rows that it sent in that time. */
  std::string busiest;
  std::uint64_t busiestRowsSent = 0;
  std::uint64_t busiestRowsPushed = 0;
  double rssMbMax = 0;
  double logReads = 0;
  double logAppends = 0;
};

Sample
TakeSample(bed::Bed& aBed);

Rates
Compare(const Sample& aFrom, const Sample& aTo);

} // namespace waxwingyoke::bench

#endif // waxwingyoke_bench_config_Probe_h
