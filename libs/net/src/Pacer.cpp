#include <net/Pacer.h>

#include <algorithm>
#include <utility>

#include <net/Runtime.h>

namespace waxwingyoke::net {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::int64_t kMicrosPerSecond = 1000000;
// The burst that an idle link may send; hides the timer's resolution.
constexpr std::int64_t kBurstMicros = 20000;

} // namespace

TokenBucket::TokenBucket(std::uint64_t aBytesPerSecond)
  : rate_(aBytesPerSecond)
{
}

utils::Millis
TokenBucket::Take(std::size_t aBytes, utils::Millis aNow)
{
  if (rate_ == 0) {
    return utils::Millis(0);
  }
  auto now = aNow.value * kMicrosPerMilli;
  auto start = std::max(busyUntil_, now - kBurstMicros);
  auto cost =
    static_cast<std::int64_t>(static_cast<double>(aBytes) * kMicrosPerSecond /
                              static_cast<double>(rate_));
  busyUntil_ = start + cost;
  return utils::Millis(
    std::max<std::int64_t>(0, (busyUntil_ - now) / kMicrosPerMilli));
}

Pacer::Pacer(std::uint64_t aBytesPerSecond, utils::Clock aClock)
  : clock_(std::move(aClock))
  , bucket_(aBytesPerSecond)
{
}

void
Pacer::Wait(std::size_t aBytes)
{
  auto wait = Take(aBytes);
  if (wait > utils::Millis(0)) {
    Runtime::Sleep(wait);
  }
}

void
Pacer::Charge(std::size_t aBytes)
{
  charged_.fetch_add(aBytes, std::memory_order_relaxed);
}

void
Pacer::SetRate(std::uint64_t aBytesPerSecond)
{
  std::scoped_lock lock(mutex_);
  bucket_.SetRate(aBytesPerSecond);
}

std::uint64_t
Pacer::GetRate() const
{
  std::scoped_lock lock(mutex_);
  return bucket_.GetRate();
}

utils::Millis
Pacer::Take(std::size_t aBytes)
{
  auto charged = charged_.exchange(0, std::memory_order_relaxed);
  std::scoped_lock lock(mutex_);
  return bucket_.Take(aBytes + charged, clock_.Now());
}

} // namespace waxwingyoke::net
