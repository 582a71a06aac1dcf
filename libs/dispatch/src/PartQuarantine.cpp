#include <dispatch/PartQuarantine.h>

#include <algorithm>
#include <iterator>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

constexpr Millis kLongestDuration(4LL * 60 * 60 * 1000);
constexpr std::size_t kMaxRows = 1024;

} // namespace

QuarantinedPart
PartQuarantine::Impose(std::uint64_t aPart, Millis aShortest, Millis aNow)
{
  auto row = rows_.find(aPart);
  auto duration = row == rows_.end()
                    ? aShortest
                    : std::min(std::max(row->second.duration * 2, aShortest),
                               kLongestDuration);
  QuarantinedPart imposed{ aPart, aNow + duration, duration };
  Apply(imposed);
  return imposed;
}

void
PartQuarantine::Apply(const QuarantinedPart& aPart)
{
  if (rows_.size() >= kMaxRows && !rows_.contains(aPart.part)) {
    rows_.erase(std::ranges::min_element(
      rows_, {}, [](const auto& aRow) { return aRow.second.until; }));
  }
  auto& row = rows_[aPart.part];
  auto imposedAt = aPart.until - aPart.duration;
  if (row.releasedAt && imposedAt <= *row.releasedAt) {
    return;
  }
  row.releasedAt.reset();
  row.until = std::max(row.until, aPart.until);
  row.duration = std::max(row.duration, aPart.duration);
}

bool
PartQuarantine::RecordSurvival(std::uint64_t aPart,
                               Millis aSurvivedAt,
                               Millis aNow)
{
  auto found = rows_.find(aPart);
  if (found == rows_.end()) {
    return false;
  }
  auto& row = found->second;
  bool wasQuarantined =
    aNow < row.until && aSurvivedAt > row.until - row.duration;
  if (wasQuarantined) {
    return Release(aPart, aNow);
  }
  if (aSurvivedAt > row.until) {
    rows_.erase(found);
  }
  return false;
}

bool
PartQuarantine::Release(std::uint64_t aPart, Millis aNow)
{
  if (!IsQuarantined(aPart, aNow)) {
    return false;
  }
  auto& row = rows_[aPart];
  row.until = aNow;
  row.releasedAt = aNow;
  return true;
}

bool
PartQuarantine::IsQuarantined(std::uint64_t aPart, Millis aNow) const
{
  auto row = rows_.find(aPart);
  return row != rows_.end() && aNow < row->second.until;
}

bool
PartQuarantine::HasRelapsed(std::uint64_t aPart,
                            Millis aCrashedAt,
                            Millis aNow) const
{
  auto row = rows_.find(aPart);
  return row != rows_.end() && !row->second.releasedAt &&
         aNow >= row->second.until && aCrashedAt >= row->second.until;
}

bool
PartQuarantine::Explains(const std::vector<std::uint64_t>& aParts,
                         Millis aCrashedAt) const
{
  return !rows_.empty() &&
         std::ranges::any_of(aParts, [&](std::uint64_t aPart) {
           auto row = rows_.find(aPart);
           return row != rows_.end() && !row->second.releasedAt &&
                  aCrashedAt < row->second.until;
         });
}

std::optional<std::uint64_t>
PartQuarantine::Find(const std::vector<std::uint64_t>& aParts,
                     Millis aNow) const
{
  if (rows_.empty()) {
    return std::nullopt;
  }
  auto found = std::ranges::find_if(
    aParts, [&](std::uint64_t aPart) { return IsQuarantined(aPart, aNow); });
  return found == aParts.end() ? std::nullopt : std::optional(*found);
}

std::vector<QuarantinedPart>
PartQuarantine::List(Millis aNow) const
{
  std::vector<QuarantinedPart> parts;
  for (const auto& [part, row] : rows_) {
    if (aNow < row.until) {
      parts.push_back({ part, row.until, row.duration });
    }
  }
  std::ranges::sort(parts, {}, &QuarantinedPart::until);
  return parts;
}

void
PartQuarantine::RemoveExpired(Millis aNow)
{
  std::erase_if(rows_, [aNow](const auto& aRow) {
    return aNow >= aRow.second.until + aRow.second.duration;
  });
}

} // namespace waxwingyoke::dispatch
