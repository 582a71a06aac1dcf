#ifndef waxwingyoke_weights_RegionShare_h
#define waxwingyoke_weights_RegionShare_h

#include <cstddef>
#include <cstdint>
#include <optional>

#include <utils/Time.h>

namespace waxwingyoke::weights {

/**
 * This side's part of a budget between regions, found without a coordinator:
 * an equal part for each side of the region that still fetches, since the
 * ranks give each an equal part of what comes from outside. When answers get
 * later than they were, others need the link, and the part shrinks.
 */
class RegionShare
{
public:
  /** aBytesPerSecond 0 is unlimited. */
  explicit RegionShare(std::uint64_t aBytesPerSecond);

  /** How many sides of the region, this one included, still fetch. */
  void NoteFetchers(std::size_t aCount);

  /** The time from a request across regions to its answer's head. */
  void NoteDelay(utils::Millis aDelay);

  /** Bytes a second; 0 is unlimited. */
  std::uint64_t GetRate() const;

private:
  const std::uint64_t budget_;
  std::size_t fetchers_ = 1;
  std::optional<utils::Millis> leastDelay_;
  /** In eighths. */
  unsigned part_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_RegionShare_h
