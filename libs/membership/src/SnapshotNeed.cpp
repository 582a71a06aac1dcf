#include "SnapshotNeed.h"

#include <algorithm>

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// Bounds the records that a fresh reader folds.
constexpr std::uint64_t kRecordsPerSnapshot = 200;
// Longer than a snapshot takes to come back from the log.
constexpr std::int64_t kWaitPerRankMs = 3000;

// A reader can start only from a snapshot that reaches the log's beginning.
// Once records vanish it is written anew before they vanish up to it.
bool
IsOutrun(const SnapshotSight& aSight)
{
  constexpr std::uint64_t kMarginShare = 4;
  if (aSight.firstOffset == 0) {
    return false;
  }
  auto kept =
    aSight.nextOffset - std::min(aSight.nextOffset, aSight.firstOffset);
  return aSight.snapshotOffset < aSight.firstOffset + kept / kMarginShare;
}

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
  bool isNeeded = isOld || isLong || IsOutrun(aSight);
  if (aSight.nextOffset == 0 || !isNeeded) {
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
