#include "UploadLimit.h"

#include <algorithm>

namespace waxwingyoke::weights {

namespace {

constexpr int kFreeUploads = 2;
constexpr std::size_t kMaxChunks = 100000;
constexpr utils::Millis kMinTime(20);
constexpr utils::Millis kMaxTime(5000);
// Until those that got a chunk hold it and others have heard of that.
constexpr std::int64_t kTimesUntilKnown = 2;

} // namespace

bool
UploadLimit::Begin(const utils::Digest& aChunk, utils::Millis aNow)
{
  if (uploads_.size() >= kMaxChunks) {
    uploads_.clear();
  }
  auto& uploads = uploads_[aChunk];
  bool due = aNow - uploads.last >= usualTime_ * kTimesUntilKnown;
  if (uploads.count >= kFreeUploads && !due) {
    return false;
  }
  ++uploads.count;
  uploads.last = aNow;
  return true;
}

void
UploadLimit::End(utils::Millis aTime)
{
  usualTime_ = std::clamp(aTime, kMinTime, kMaxTime);
}

} // namespace waxwingyoke::weights
