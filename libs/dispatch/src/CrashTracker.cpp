#include <dispatch/CrashTracker.h>

#include <algorithm>

namespace waxwingyoke::dispatch {

namespace {

// Crashes of two upstreams within a minute while the same request ran there
// are unlikely to be a coincidence: a crash ends one batch of requests out of
// thousands.
constexpr std::size_t kUpstreamsToQuarantine = 2;
constexpr utils::Millis kRetentionTime(60000);
constexpr std::size_t kMaxRows = 4096;

} // namespace

void
CrashTracker::RemoveExpired(utils::Millis aNow)
{
  std::erase_if(rows_, [aNow](const auto& aRow) {
    return aNow - aRow.second.last > kRetentionTime;
  });
}

bool
CrashTracker::RecordCrash(const Crash& aCrash, utils::Millis aNow)
{
  RemoveExpired(aNow);
  if (rows_.size() >= kMaxRows && !rows_.contains(aCrash.request)) {
    return false;
  }
  auto& row = rows_[aCrash.request];
  bool isNew = row.upstreams.insert(aCrash.upstream).second;
  if (isNew) {
    row.last = aNow;
  }
  return isNew;
}

bool
CrashTracker::IsQuarantined(std::uint64_t aRequest, utils::Millis aNow) const
{
  auto row = rows_.find(aRequest);
  return row != rows_.end() &&
         row->second.upstreams.size() >= kUpstreamsToQuarantine &&
         aNow - row->second.last <= kRetentionTime;
}

void
CrashTracker::Clear(std::uint64_t aRequest)
{
  rows_.erase(aRequest);
}

std::vector<Crash>
CrashTracker::ListSince(utils::Millis aSince) const
{
  std::vector<Crash> crashes;
  for (const auto& [request, row] : rows_) {
    if (row.last < aSince) {
      continue;
    }
    std::ranges::transform(row.upstreams,
                           std::back_inserter(crashes),
                           [request = request](std::uint64_t aUpstream) {
                             return Crash{ request, aUpstream };
                           });
  }
  return crashes;
}

} // namespace waxwingyoke::dispatch
