#include "GiftLimit.h"

#include <algorithm>

namespace waxwingyoke::weights {

namespace {

constexpr int kFreeGifts = 2;
constexpr std::size_t kMaxChunks = 100000;
constexpr utils::Millis kMinTime(20);
constexpr utils::Millis kMaxTime(5000);
// Until those that got a chunk hold it and others have heard of that.
constexpr std::int64_t kTimesUntilKnown = 2;

} // namespace

bool
GiftLimit::Begin(const utils::Digest& aChunk, utils::Millis aNow)
{
  if (gifts_.size() >= kMaxChunks) {
    gifts_.clear();
  }
  auto& gifts = gifts_[aChunk];
  bool due = aNow - gifts.last >= usualTime_ * kTimesUntilKnown;
  if (gifts.count >= kFreeGifts && !due) {
    return false;
  }
  ++gifts.count;
  gifts.last = aNow;
  return true;
}

void
GiftLimit::End(utils::Millis aTime)
{
  usualTime_ = std::clamp(aTime, kMinTime, kMaxTime);
}

} // namespace waxwingyoke::weights
