#ifndef waxwingyoke_weights_RegionShare_h
#define waxwingyoke_weights_RegionShare_h

#include <cstddef>
#include <cstdint>
#include <optional>

#include <utils/Time.h>

namespace waxwingyoke::weights {

/**
 * This side's share of the bandwidth budget between regions, computed without a
 * coordinator. Each side of the region that still fetches gets an equal share,
 * since the ranks assign each an equal part of the chunks from outside. The
 * share shrinks while responses are later than the fastest one so far, as then
 * other traffic needs the link.
 */
class RegionShare
{
public:
  /** aBytesPerSecond: the region's budget; 0 is unlimited. */
  explicit RegionShare(std::uint64_t aBytesPerSecond);

  /** Sets how many sides of the region, this one included, still fetch. */
  void SetFetcherCount(std::size_t aCount);

  /** Records the time from a request to another region to the response
   * headers. */
  void RecordDelay(utils::Millis aDelay);

  /** This side's rate in bytes per second; 0 is unlimited. */
  std::uint64_t GetRate() const;

private:
  const std::uint64_t budget_;
  std::size_t fetchers_ = 1;
  std::optional<utils::Millis> minDelay_;
  /** The part of the equal share that is used, in eighths. */
  unsigned shareEighths_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_RegionShare_h
