#include "ConfigStore.h"

#include <algorithm>
#include <vector>

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

constexpr std::size_t kMaxRecentBytes = 1 << 20;
constexpr std::size_t kMaxRecentRecords = 1024;
constexpr int kMaxReplyRecords = 256;
constexpr std::size_t kMaxReplyBytes = 512 << 10;

} // namespace

ConfigStore::ConfigStore()
{
  using profiles::FoldOutcome;
  replay_.OnRecord([this](std::uint64_t, const profiles::FoldResult& aResult) {
    switch (aResult.outcome) {
      case FoldOutcome::Unknown:
      case FoldOutcome::Broken:
      case FoldOutcome::TooLarge:
      case FoldOutcome::Invalid:
        ++skipped_;
        break;
      default:
        break;
    }
  });
}

std::uint64_t
ConfigStore::GetNextOffset() const
{
  return replay_.IsStarted() ? replay_.GetFold().GetNextOffset() : 0;
}

void
ConfigStore::ApplyPage(const schema::LogPage& aPage, Millis aNow)
{
  auto previousNextOffset = GetNextOffset();
  replay_.Add(aPage);
  std::ranges::for_each(aPage.records(), [&](const auto& aRecord) {
    CacheRecord(aRecord, previousNextOffset);
  });
  if (IsStarted() && GetNextOffset() >= aPage.next_offset()) {
    upToDateAt_ = aNow;
  }
}

void
ConfigStore::ApplyReply(const schema::SyncReply& aReply, Millis aNow)
{
  auto previousNextOffset = GetNextOffset();
  if (aReply.has_snapshot()) {
    schema::ConfigState state;
    if (state.ParseFromString(aReply.snapshot().state())) {
      replay_.ApplyState(aReply.snapshot().next_offset(), state);
    }
  }
  // Without a snapshot, only records from offset 0 can start a state.
  if (!IsStarted() && aReply.records_size() > 0 &&
      aReply.records(0).offset() == 0) {
    replay_.ApplyState(0, {});
  }
  if (IsStarted()) {
    replay_.AddRecords({ aReply.records().begin(), aReply.records().end() });
    std::ranges::for_each(aReply.records(), [&](const auto& aRecord) {
      CacheRecord(aRecord, previousNextOffset);
    });
  }
  bool isComplete = IsStarted() && GetNextOffset() >= aReply.config_offset();
  if (isComplete && aReply.age_ms() >= 0) {
    auto upToDateAt = aNow - Millis(aReply.age_ms());
    upToDateAt_ = std::max(upToDateAt_.value_or(upToDateAt), upToDateAt);
  }
}

void
ConfigStore::CacheRecord(const schema::StoredRecord& aRecord,
                         std::uint64_t aPreviousNextOffset)
{
  if (aRecord.offset() < aPreviousNextOffset ||
      aRecord.offset() >= GetNextOffset()) {
    return;
  }
  bool isContiguous = !recentRecords_.empty() &&
                      recentRecords_.back().offset() + 1 == aRecord.offset();
  if (!isContiguous) {
    recentRecords_.clear();
    recentBytes_ = 0;
  }
  recentRecords_.push_back(aRecord);
  recentBytes_ += aRecord.payload().size();
  while (recentRecords_.size() > kMaxRecentRecords ||
         recentBytes_ > kMaxRecentBytes) {
    recentBytes_ -= recentRecords_.front().payload().size();
    recentRecords_.pop_front();
  }
}

void
ConfigStore::FillReply(std::uint64_t aOffset,
                       Millis aNow,
                       schema::SyncReply& aReply) const
{
  auto next = GetNextOffset();
  auto age = GetAge(aNow);
  aReply.set_config_offset(next);
  aReply.set_age_ms(age ? age->value : -1);
  if (!IsStarted() || aOffset >= next) {
    return;
  }
  bool isCached = !recentRecords_.empty() &&
                  recentRecords_.front().offset() <= aOffset &&
                  recentRecords_.back().offset() + 1 == next;
  if (!isCached) {
    auto& transfer = *aReply.mutable_snapshot();
    transfer.set_next_offset(next);
    transfer.set_state(replay_.GetFold().GetState().SerializeAsString());
    return;
  }
  auto first = aOffset - recentRecords_.front().offset();
  std::size_t bytes = 0;
  for (auto i = first; i < recentRecords_.size(); ++i) {
    bytes += recentRecords_[i].payload().size();
    bool isFull = aReply.records_size() >= kMaxReplyRecords ||
                  (bytes > kMaxReplyBytes && aReply.records_size() > 0);
    if (isFull) {
      return;
    }
    *aReply.add_records() = recentRecords_[i];
  }
}

std::optional<Millis>
ConfigStore::GetAge(Millis aNow) const
{
  if (!upToDateAt_) {
    return std::nullopt;
  }
  return std::max(aNow - *upToDateAt_, Millis(0));
}

} // namespace waxwingyoke::membership
