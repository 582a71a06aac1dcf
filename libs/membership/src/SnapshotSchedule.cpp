#include "SnapshotSchedule.h"

#include <algorithm>

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// Bounds the records that a new reader folds after the snapshot.
constexpr std::uint64_t kRecordsPerSnapshot = 200;
// Longer than an appended snapshot takes to be read from the log.
constexpr std::int64_t kWaitPerRankMs = 3000;

// A reader can start only from a snapshot that reaches the log's first retained
// offset. Once the log trims records, a new snapshot is due while the newest
// one is within the first quarter of the retained records.
bool
IsNearTrimPoint(const SnapshotStatus& aStatus)
{
  constexpr std::uint64_t kMarginDivisor = 4;
  if (aStatus.firstOffset == 0) {
    return false;
  }
  auto retained =
    aStatus.nextOffset - std::min(aStatus.nextOffset, aStatus.firstOffset);
  return aStatus.snapshotOffset <
         aStatus.firstOffset + retained / kMarginDivisor;
}

} // namespace

bool
SnapshotSchedule::IsDue(const SnapshotStatus& aStatus, Millis aNow)
{
  if (!newestAt_ || aStatus.snapshotOffset > newestOffset_) {
    newestOffset_ = aStatus.snapshotOffset;
    newestAt_ = aNow;
    dueSince_.reset();
  }
  bool isOld = aNow - *newestAt_ >= interval_;
  bool hasManyRecords =
    aStatus.nextOffset >= newestOffset_ + kRecordsPerSnapshot;
  bool isNeeded = isOld || hasManyRecords || IsNearTrimPoint(aStatus);
  if (aStatus.nextOffset == 0 || !isNeeded) {
    dueSince_.reset();
    return false;
  }
  if (!dueSince_) {
    dueSince_ = aNow;
  }
  Millis wait(kWaitPerRankMs * static_cast<std::int64_t>(aStatus.rank));
  if (aNow - *dueSince_ < wait) {
    return false;
  }
  dueSince_ = aNow;
  return true;
}

} // namespace waxwingyoke::membership
