#include <profiles/Replay.h>

#include <algorithm>

namespace waxwingyoke::profiles {

namespace {

// A snapshot's state may be older than its own offset by the few records that
// other nodes appended while it was written. Digests of this many states are
// kept to check it.
constexpr std::uint64_t kMaxCheckpoints = 64;

} // namespace

void
Replay::Add(const schema::LogPage& aPage)
{
  firstOffset_ = aPage.first_offset();
  if (aPage.first_offset() == 0 && !fold_) {
    fold_.emplace();
  }
  if (aPage.first_offset() > readOffset_) {
    searchFrom_ = aPage.first_offset();
    readOffset_ = aPage.first_offset();
    bufferedRecords_.clear();
  }
  // Computing a digest serialises the whole state, so it is done only near the
  // end of the log, where a future snapshot may refer to the offset.
  auto end = aPage.next_offset();
  std::ranges::for_each(aPage.records(), [this, end](const auto& aRecord) {
    isNearEnd_ = aRecord.offset() + kMaxCheckpoints >= end;
    ApplyNext(aRecord);
  });
}

void
Replay::AddRecords(const std::vector<schema::StoredRecord>& aRecords)
{
  isNearEnd_ = true;
  std::ranges::for_each(aRecords,
                        [this](const auto& aRecord) { ApplyNext(aRecord); });
}

void
Replay::ApplyNext(const schema::StoredRecord& aRecord)
{
  if (aRecord.offset() != readOffset_) {
    return;
  }
  ++readOffset_;
  if (searchFrom_) {
    SearchSnapshot(aRecord);
    return;
  }
  auto result = fold_->Apply(aRecord.offset(), aRecord.payload());
  if (result.outcome == FoldOutcome::Snapshot) {
    if (auto snapshot = ReadSnapshot(aRecord.payload())) {
      CheckSnapshot(*snapshot);
    }
  }
  if (isNearEnd_) {
    RecordDigest();
  }
  if (hook_) {
    hook_(aRecord.offset(), result);
  }
}

void
Replay::SearchSnapshot(const schema::StoredRecord& aRecord)
{
  bufferedRecords_.push_back(aRecord);
  auto snapshot = ReadSnapshot(aRecord.payload());
  if (!snapshot || snapshot->next_offset() < *searchFrom_ ||
      snapshot->next_offset() > aRecord.offset()) {
    return;
  }
  auto from = snapshot->next_offset();
  auto records = std::move(bufferedRecords_);
  bufferedRecords_.clear();
  searchFrom_.reset();
  snapshotOffset_ = std::max(snapshotOffset_, from);
  // A fold that is ahead of the snapshot is kept: its state came from another
  // node, which read the records before they were trimmed.
  if (!fold_ || fold_->GetNextOffset() < from) {
    fold_.emplace(from, snapshot->state());
    checkpoints_.clear();
  }
  readOffset_ = from;
  std::ranges::for_each(
    records, [this](const auto& aBuffered) { ApplyNext(aBuffered); });
}

bool
Replay::ApplyState(std::uint64_t aNextOffset, const schema::ConfigState& aState)
{
  if (fold_ && fold_->GetNextOffset() >= aNextOffset) {
    return false;
  }
  fold_.emplace(aNextOffset, aState);
  checkpoints_.clear();
  searchFrom_.reset();
  bufferedRecords_.clear();
  readOffset_ = aNextOffset;
  return true;
}

void
Replay::CheckSnapshot(const schema::Snapshot& aSnapshot)
{
  snapshotOffset_ = std::max(snapshotOffset_, aSnapshot.next_offset());
  auto checkpoint = std::ranges::find(
    checkpoints_, aSnapshot.next_offset(), &Checkpoint::nextOffset);
  // Releases with another format may correctly fold to a different state.
  if (checkpoint != checkpoints_.end() && aSnapshot.format() == Fold::kFormat &&
      checkpoint->digest.ToHex() != aSnapshot.digest()) {
    ++mismatches_;
  }
}

void
Replay::RecordDigest()
{
  checkpoints_.push_back(
    { fold_->GetNextOffset(), Fold::GetDigest(fold_->GetState()) });
  if (checkpoints_.size() > kMaxCheckpoints) {
    checkpoints_.pop_front();
  }
}

} // namespace waxwingyoke::profiles
