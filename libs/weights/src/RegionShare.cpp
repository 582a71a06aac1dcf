#include "RegionShare.h"

#include <algorithm>

namespace waxwingyoke::weights {

namespace {

constexpr unsigned kFullShare = 8;
// Additional delay below this is treated as noise.
constexpr utils::Millis kDelaySlack(50);
constexpr std::int64_t kDelayFactor = 2;

} // namespace

RegionShare::RegionShare(std::uint64_t aBytesPerSecond)
  : budget_(aBytesPerSecond)
  , shareEighths_(kFullShare)
{
}

void
RegionShare::SetFetcherCount(std::size_t aCount)
{
  fetchers_ = std::max<std::size_t>(1, aCount);
}

void
RegionShare::RecordDelay(utils::Millis aDelay)
{
  minDelay_ = std::min(minDelay_.value_or(aDelay), aDelay);
  bool late = aDelay > *minDelay_ * kDelayFactor + kDelaySlack;
  shareEighths_ = late ? std::max(1U, shareEighths_ / 2)
                       : std::min(kFullShare, shareEighths_ + 1);
}

std::uint64_t
RegionShare::GetRate() const
{
  if (budget_ == 0) {
    return 0;
  }
  return std::max<std::uint64_t>(
    1, budget_ * shareEighths_ / kFullShare / fetchers_);
}

} // namespace waxwingyoke::weights
