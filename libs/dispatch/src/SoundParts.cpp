#include <dispatch/SoundParts.h>

#include <algorithm>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

constexpr std::size_t kMaxParts = 16384;
constexpr std::size_t kMaxRecentRuns = 16;

} // namespace

void
SoundParts::RecordRun(const std::vector<std::uint64_t>& aParts, Millis aNow)
{
  if (aParts.empty()) {
    return;
  }
  AddRecent(aNow);
  std::ranges::for_each(aParts, [&](auto aPart) {
    SetLastRun({ aPart, aNow });
  });
}

void
SoundParts::Apply(const SoundPart& aPart)
{
  if (SetLastRun(aPart)) {
    AddRecent(aPart.survivedAt);
  }
}

// False if a later run is known.
bool
SoundParts::SetLastRun(const SoundPart& aPart)
{
  if (lastRuns_.size() >= kMaxParts && !lastRuns_.contains(aPart.part)) {
    RemoveOldest();
  }
  auto& last = lastRuns_[aPart.part];
  bool isNew = last < aPart.survivedAt;
  last = std::max(last, aPart.survivedAt);
  return isNew;
}

void
SoundParts::AddRecent(Millis aTime)
{
  recentRuns_.push_back(aTime);
  if (recentRuns_.size() > kMaxRecentRuns) {
    recentRuns_.pop_front();
  }
}

// Half at a time, so that the search for them is rare.
void
SoundParts::RemoveOldest()
{
  std::vector<Millis> times;
  times.reserve(lastRuns_.size());
  std::ranges::transform(lastRuns_,
                         std::back_inserter(times),
                         [](const auto& aRow) { return aRow.second; });
  auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  std::erase_if(lastRuns_, [limit = *middle](const auto& aRow) {
    return aRow.second <= limit;
  });
}

std::optional<Millis>
SoundParts::FindLastRun(std::uint64_t aPart) const
{
  auto row = lastRuns_.find(aPart);
  return row == lastRuns_.end() ? std::nullopt : std::optional(row->second);
}

std::size_t
SoundParts::CountRunsAfter(Millis aTime) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    recentRuns_, [aTime](Millis aRun) { return aRun > aTime; }));
}

} // namespace waxwingyoke::dispatch
