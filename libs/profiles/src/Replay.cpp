#include <profiles/Replay.h>

#include <algorithm>

namespace waxwingyoke::profiles {

namespace {

// A snapshot lands behind the few records that others appended while its
// writer was at it.
constexpr std::uint64_t kCheckpoints = 64;

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
    kept_.clear();
  }
  // A digest costs a walk over the state, so it is taken only where a
  // snapshot still to come may refer to it.
  auto end = aPage.next_offset();
  std::ranges::for_each(aPage.records(), [this, end](const auto& aRecord) {
    isNearEnd_ = aRecord.offset() + kCheckpoints >= end;
    Take(aRecord);
  });
}

void
Replay::AddRecords(const std::vector<schema::StoredRecord>& aRecords)
{
  isNearEnd_ = true;
  std::ranges::for_each(aRecords,
                        [this](const auto& aRecord) { Take(aRecord); });
}

void
Replay::Take(const schema::StoredRecord& aRecord)
{
  if (aRecord.offset() != readOffset_) {
    return;
  }
  ++readOffset_;
  if (searchFrom_) {
    Search(aRecord);
    return;
  }
  auto result = fold_->Apply(aRecord.offset(), aRecord.payload());
  if (result.outcome == FoldOutcome::Snapshot) {
    if (auto snapshot = ReadSnapshot(aRecord.payload())) {
      Check(*snapshot);
    }
  }
  if (isNearEnd_) {
    NoteDigest();
  }
  if (hook_) {
    hook_(aRecord.offset(), result);
  }
}

void
Replay::Search(const schema::StoredRecord& aRecord)
{
  kept_.push_back(aRecord);
  auto snapshot = ReadSnapshot(aRecord.payload());
  if (!snapshot || snapshot->next_offset() < *searchFrom_ ||
      snapshot->next_offset() > aRecord.offset()) {
    return;
  }
  auto from = snapshot->next_offset();
  auto records = std::move(kept_);
  kept_.clear();
  searchFrom_.reset();
  snapshotOffset_ = std::max(snapshotOffset_, from);
  // A state further on than the snapshot comes from a neighbour that had
  // read what is gone here.
  if (!fold_ || fold_->GetNextOffset() < from) {
    fold_.emplace(from, snapshot->state());
    checkpoints_.clear();
  }
  readOffset_ = from;
  std::ranges::for_each(records, [this](const auto& aKept) { Take(aKept); });
}

bool
Replay::TakeState(std::uint64_t aNextOffset, const schema::ConfigState& aState)
{
  if (fold_ && fold_->GetNextOffset() >= aNextOffset) {
    return false;
  }
  fold_.emplace(aNextOffset, aState);
  checkpoints_.clear();
  searchFrom_.reset();
  kept_.clear();
  readOffset_ = aNextOffset;
  return true;
}

void
Replay::Check(const schema::Snapshot& aSnapshot)
{
  snapshotOffset_ = std::max(snapshotOffset_, aSnapshot.next_offset());
  auto same = std::ranges::find(
    checkpoints_, aSnapshot.next_offset(), &Checkpoint::nextOffset);
  // Releases of another format may rightly know less or more.
  if (same != checkpoints_.end() && aSnapshot.format() == Fold::kFormat &&
      same->digest.ToHex() != aSnapshot.digest()) {
    ++mismatches_;
  }
}

void
Replay::NoteDigest()
{
  checkpoints_.push_back(
    { fold_->GetNextOffset(), Fold::GetDigest(fold_->GetState()) });
  if (checkpoints_.size() > kCheckpoints) {
    checkpoints_.pop_front();
  }
}

} // namespace waxwingyoke::profiles
