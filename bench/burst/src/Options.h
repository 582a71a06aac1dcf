#ifndef waxwingyoke_burst_Options_h
#define waxwingyoke_burst_Options_h

#include <cstdint>
#include <string>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::burst {

/** Options of the burst to measure. */
struct Options
{
  std::size_t vms = 8;
  std::size_t regions = 3;
  std::uint64_t bytes = 8 << 20;
  std::uint32_t chunkBytes = 128 << 10;
  /** Rate limit of each process's link, upload and download together. */
  std::uint64_t linkBytesPerSecond = 1 << 20;
  /** Total send rate of the store and of the origin each; 0 means four times
   * linkBytesPerSecond. */
  std::uint64_t originBytesPerSecond = 0;
  /** none; faults (corrupt chunks, a silent store, killed VMs); second (a
   * second version is published during the burst). */
  std::string faults = "none";
  /** Ways of distribution to measure one after the other: swarm, origin,
   * chain. */
  std::vector<std::string> ways{ "swarm" };
  std::uint64_t seed = 1;
  /** A burst that takes longer than this multiple of GetTimeBound fails. */
  std::uint64_t maxRatio = 6;
  bool keepFolder = false;
  std::string logLevel = "warn";

  /** Send rate of the store and of the origin each, bytes/s. */
  std::uint64_t GetOriginRate() const;

  /**
   * The shortest time that the link rates allow: each side downloads one copy
   * and uploads an equal share of the copies that sides send to each other,
   * all but one per region, over its link. See docs/design/weights.md.
   */
  utils::Millis GetTimeBound() const;
};

} // namespace waxwingyoke::burst

#endif // waxwingyoke_burst_Options_h
