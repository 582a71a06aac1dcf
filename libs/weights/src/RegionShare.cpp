#include "RegionShare.h"

#include <algorithm>

namespace waxwingyoke::weights {

namespace {

constexpr unsigned kWholePart = 8;
// Below this much of extra delay it is noise.
constexpr utils::Millis kDelaySlack(50);
constexpr std::int64_t kDelayFactor = 2;

} // namespace

RegionShare::RegionShare(std::uint64_t aBytesPerSecond)
  : budget_(aBytesPerSecond)
  , part_(kWholePart)
{
}

void
RegionShare::NoteFetchers(std::size_t aCount)
{
  fetchers_ = std::max<std::size_t>(1, aCount);
}

void
RegionShare::NoteDelay(utils::Millis aDelay)
{
  leastDelay_ = std::min(leastDelay_.value_or(aDelay), aDelay);
  bool late = aDelay > *leastDelay_ * kDelayFactor + kDelaySlack;
  part_ = late ? std::max(1U, part_ / 2) : std::min(kWholePart, part_ + 1);
}

std::uint64_t
RegionShare::GetRate() const
{
  if (budget_ == 0) {
    return 0;
  }
  return std::max<std::uint64_t>(1, budget_ * part_ / kWholePart / fetchers_);
}

} // namespace waxwingyoke::weights
