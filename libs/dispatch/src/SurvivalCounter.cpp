#include <dispatch/SurvivalCounter.h>

#include <algorithm>
#include <numeric>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

constexpr Millis kBucketTime(100);
constexpr Millis kRetentionTime(60000);

} // namespace

void
SurvivalCounter::RecordOwn(Millis aNow)
{
  ++ownTotal_;
  Add(1, aNow);
}

void
SurvivalCounter::ApplyTotal(const std::string& aEntry,
                            std::uint64_t aTotal,
                            Millis aNow)
{
  std::erase_if(totals_, [aNow](const auto& aRow) {
    return aNow - aRow.second.receivedAt > kRetentionTime;
  });
  auto [row, isNew] = totals_.try_emplace(aEntry);
  auto& known = row->second;
  if (!isNew && aTotal > known.count) {
    Add(aTotal - known.count, aNow);
  }
  known = { aTotal, aNow };
}

void
SurvivalCounter::Add(std::uint64_t aCount, Millis aNow)
{
  if (buckets_.empty() || aNow - buckets_.back().start >= kBucketTime) {
    buckets_.push_back({ aNow, 0 });
  }
  buckets_.back().count += aCount;
  while (aNow - buckets_.front().start > kRetentionTime) {
    buckets_.pop_front();
  }
}

std::uint64_t
SurvivalCounter::CountFrom(Millis aTime) const
{
  auto first = std::ranges::lower_bound(buckets_, aTime, {}, &Bucket::start);
  return std::accumulate(first,
                         buckets_.end(),
                         std::uint64_t{ 0 },
                         [](std::uint64_t aSum, const Bucket& aBucket) {
                           return aSum + aBucket.count;
                         });
}

} // namespace waxwingyoke::dispatch
