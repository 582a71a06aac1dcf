#ifndef waxwingyoke_burst_Options_h
#define waxwingyoke_burst_Options_h

#include <cstdint>
#include <string>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::burst {

/** One burst to measure. */
struct Options
{
  std::size_t vms = 8;
  std::size_t regions = 3;
  std::uint64_t bytes = 8 << 20;
  std::uint32_t chunkBytes = 128 << 10;
  /** Budget of each process's link, both ways together. */
  std::uint64_t linkBytesPerSecond = 1 << 20;
  /** What the store and the origin each send in all; 0: four links. */
  std::uint64_t originBytesPerSecond = 0;
  /** none, faults or second. */
  std::string faults = "none";
  /** swarm, origin or chain, each measured on its own. */
  std::vector<std::string> ways{ "swarm" };
  std::uint64_t seed = 1;
  /** A burst that lasts longer than so many bounds has failed. */
  std::uint64_t maxRatio = 6;
  bool keepFolder = false;
  std::string logLevel = "warn";

  std::uint64_t GetOriginRate() const;

  /**
   * The least time that the link budgets allow: one copy down and a fair
   * share of all copies that sides pass on, over one budget. See
   * docs/design/weights.md.
   */
  utils::Millis GetBound() const;
};

} // namespace waxwingyoke::burst

#endif // waxwingyoke_burst_Options_h
