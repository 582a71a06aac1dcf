#include <dispatch/RefusalMemory.h>

#include <algorithm>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

// Callers come back within their deadlines, which are some seconds.
constexpr Millis kMemory(12000);
constexpr Millis kCleanInterval(1000);
constexpr std::size_t kMaxRows = 20000;
// A notice may be lost; two in a row seldom are.
constexpr int kTellTimes = 2;
// What fits into one notice beside the rest.
constexpr std::size_t kMaxNews = 40;
constexpr std::size_t kMaxPending = 400;

} // namespace

void
RefusalMemory::Note(const Refusal& aRefusal, Millis aNow)
{
  if (aNow - cleanedAt_ > kCleanInterval) {
    DropOld(aNow);
  }
  if (firstCame_.size() < kMaxRows) {
    firstCame_.try_emplace(aRefusal.request, aRefusal.firstCame);
  }
}

void
RefusalMemory::DropOld(Millis aNow)
{
  cleanedAt_ = aNow;
  std::erase_if(firstCame_, [aNow](const auto& aRow) {
    return aNow - aRow.second > kMemory;
  });
}

std::optional<Millis>
RefusalMemory::Find(std::uint64_t aRequest) const
{
  auto row = firstCame_.find(aRequest);
  return row == firstCame_.end() ? std::nullopt : std::optional(row->second);
}

void
RefusalMemory::Announce(const Refusal& aRefusal)
{
  if (pending_.size() < kMaxPending) {
    pending_.push_back({ aRefusal, 0 });
  }
}

std::vector<Refusal>
RefusalMemory::TakeNews()
{
  std::vector<Refusal> news;
  auto count = std::min(pending_.size(), kMaxNews);
  std::for_each_n(pending_.begin(), count, [&news](Pending& aPending) {
    news.push_back(aPending.refusal);
    ++aPending.toldTimes;
  });
  std::erase_if(pending_, [](const Pending& aPending) {
    return aPending.toldTimes >= kTellTimes;
  });
  return news;
}

} // namespace waxwingyoke::dispatch
