#include "ConfigStore.h"

#include <algorithm>
#include <vector>

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

constexpr std::size_t kMaxLatestBytes = 1 << 20;
constexpr std::size_t kMaxLatestRecords = 1024;
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
ConfigStore::TakePage(const schema::LogPage& aPage, Millis aNow)
{
  auto before = GetNextOffset();
  replay_.Add(aPage);
  std::ranges::for_each(aPage.records(),
                        [&](const auto& aRecord) { Keep(aRecord, before); });
  if (IsStarted() && GetNextOffset() >= aPage.next_offset()) {
    freshAt_ = aNow;
  }
}

void
ConfigStore::TakeReply(const schema::SyncReply& aReply, Millis aNow)
{
  auto before = GetNextOffset();
  if (aReply.has_snapshot()) {
    schema::ConfigState state;
    if (state.ParseFromString(aReply.snapshot().state())) {
      replay_.ApplyState(aReply.snapshot().next_offset(), state);
    }
  }
  // The first records of the stream can begin a state; later ones cannot.
  if (!IsStarted() && aReply.records_size() > 0 &&
      aReply.records(0).offset() == 0) {
    replay_.ApplyState(0, {});
  }
  if (IsStarted()) {
    replay_.AddRecords({ aReply.records().begin(), aReply.records().end() });
    std::ranges::for_each(aReply.records(),
                          [&](const auto& aRecord) { Keep(aRecord, before); });
  }
  bool isWhole = IsStarted() && GetNextOffset() >= aReply.config_offset();
  if (isWhole && aReply.age_ms() >= 0) {
    auto freshAt = aNow - Millis(aReply.age_ms());
    freshAt_ = std::max(freshAt_.value_or(freshAt), freshAt);
  }
}

void
ConfigStore::Keep(const schema::StoredRecord& aRecord, std::uint64_t aBefore)
{
  if (aRecord.offset() < aBefore || aRecord.offset() >= GetNextOffset()) {
    return;
  }
  bool follows =
    !latest_.empty() && latest_.back().offset() + 1 == aRecord.offset();
  if (!follows) {
    latest_.clear();
    latestBytes_ = 0;
  }
  latest_.push_back(aRecord);
  latestBytes_ += aRecord.payload().size();
  while (latest_.size() > kMaxLatestRecords || latestBytes_ > kMaxLatestBytes) {
    latestBytes_ -= latest_.front().payload().size();
    latest_.pop_front();
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
  bool isKept = !latest_.empty() && latest_.front().offset() <= aOffset &&
                latest_.back().offset() + 1 == next;
  if (!isKept) {
    auto& transfer = *aReply.mutable_snapshot();
    transfer.set_next_offset(next);
    transfer.set_state(replay_.GetFold().GetState().SerializeAsString());
    return;
  }
  auto first = aOffset - latest_.front().offset();
  std::size_t bytes = 0;
  for (auto i = first; i < latest_.size(); ++i) {
    bytes += latest_[i].payload().size();
    bool isFull = aReply.records_size() >= kMaxReplyRecords ||
                  (bytes > kMaxReplyBytes && aReply.records_size() > 0);
    if (isFull) {
      return;
    }
    *aReply.add_records() = latest_[i];
  }
}

std::optional<Millis>
ConfigStore::GetAge(Millis aNow) const
{
  if (!freshAt_) {
    return std::nullopt;
  }
  return std::max(aNow - *freshAt_, Millis(0));
}

} // namespace waxwingyoke::membership
