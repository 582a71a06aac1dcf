#include "UploadLimit.h"

#include <algorithm>

namespace waxwingyoke::weights {

namespace {

constexpr int kInitialUploads = 2;
constexpr std::size_t kMaxChunks = 100000;
constexpr utils::Millis kMinUploadTime(20);
constexpr utils::Millis kMaxUploadTime(5000);
// The time, in upload times, until the receivers of a chunk hold it and their
// offers have reached other sides.
constexpr std::int64_t kPropagationFactor = 2;

} // namespace

bool
UploadLimit::TryBegin(const utils::Digest& aChunk, utils::Millis aNow)
{
  if (uploads_.size() >= kMaxChunks) {
    uploads_.clear();
  }
  auto& uploads = uploads_[aChunk];
  bool due = aNow - uploads.last >= lastUploadTime_ * kPropagationFactor;
  if (uploads.count >= kInitialUploads && !due) {
    return false;
  }
  ++uploads.count;
  uploads.last = aNow;
  return true;
}

void
UploadLimit::End(utils::Millis aTime)
{
  lastUploadTime_ = std::clamp(aTime, kMinUploadTime, kMaxUploadTime);
}

} // namespace waxwingyoke::weights
