#include <dispatch/RefusalTracker.h>

#include <algorithm>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

// Callers retry only within their deadlines, which are some seconds.
constexpr Millis kRetentionTime(12000);
constexpr Millis kCleanInterval(1000);
constexpr std::size_t kMaxRows = 20000;
// Each refusal is sent in two notices, as a single one may be lost.
constexpr int kAnnounceTimes = 2;
// As many as fit into one notice together with its other contents.
constexpr std::size_t kMaxPerNotice = 40;
constexpr std::size_t kMaxPending = 400;

} // namespace

void
RefusalTracker::RecordRefusal(const Refusal& aRefusal, Millis aNow)
{
  if (aNow - cleanedAt_ > kCleanInterval) {
    RemoveExpired(aNow);
  }
  if (firstArrivals_.size() < kMaxRows) {
    firstArrivals_.try_emplace(aRefusal.request, aRefusal.firstArrivedAt);
  }
}

void
RefusalTracker::RemoveExpired(Millis aNow)
{
  cleanedAt_ = aNow;
  std::erase_if(firstArrivals_, [aNow](const auto& aRow) {
    return aNow - aRow.second > kRetentionTime;
  });
}

std::optional<Millis>
RefusalTracker::Find(std::uint64_t aRequest) const
{
  auto row = firstArrivals_.find(aRequest);
  return row == firstArrivals_.end() ? std::nullopt
                                     : std::optional(row->second);
}

void
RefusalTracker::Announce(const Refusal& aRefusal)
{
  if (pending_.size() < kMaxPending) {
    pending_.push_back({ aRefusal, 0 });
  }
}

std::vector<Refusal>
RefusalTracker::TakePending()
{
  std::vector<Refusal> refusals;
  auto count = std::min(pending_.size(), kMaxPerNotice);
  std::for_each_n(pending_.begin(), count, [&refusals](Pending& aPending) {
    refusals.push_back(aPending.refusal);
    ++aPending.sentTimes;
  });
  std::erase_if(pending_, [](const Pending& aPending) {
    return aPending.sentTimes >= kAnnounceTimes;
  });
  return refusals;
}

} // namespace waxwingyoke::dispatch
