#include "SnapshotNeed.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// Bounds the records that a fresh reader folds.
constexpr std::uint64_t kRecordsPerSnapshot = 200;
// Longer than a snapshot takes to come back from the log.
constexpr std::int64_t kWaitPerRankMs = 3000;

} // namespace

bool
SnapshotNeed::IsDue(const SnapshotSight& aSight, Millis aNow)
{
  if (!seenAt_ || aSight.snapshotOffset > seenOffset_) {
    seenOffset_ = aSight.snapshotOffset;
    seenAt_ = aNow;
    dueSince_.reset();
  }
  bool isOld = aNow - *seenAt_ >= interval_;
  bool isLong = aSight.nextOffset >= seenOffset_ + kRecordsPerSnapshot;
  if (aSight.nextOffset == 0 || (!isOld && !isLong)) {
    dueSince_.reset();
    return false;
  }
  if (!dueSince_) {
    dueSince_ = aNow;
  }
  Millis wait(kWaitPerRankMs * static_cast<std::int64_t>(aSight.rank));
  if (aNow - *dueSince_ < wait) {
    return false;
  }
  dueSince_ = aNow;
  return true;
}

} // namespace waxwingyoke::membership
