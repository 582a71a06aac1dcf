#include "NamedVersions.h"

#include <algorithm>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// A version is forgotten once its successor was observed this long before the
// newest: longer than any limit, so it allows and limits nothing any more.
constexpr Millis kRetention(600000);
constexpr std::size_t kMaxVersions = 64;

std::uint64_t
GetAge(Millis aTime, Millis aNow)
{
  return static_cast<std::uint64_t>(std::max(aNow - aTime, Millis(0)).value);
}

} // namespace

// The observation itself may come long after the naming: the process that
// observed it may have been suspended, or its connection may have hung. So the
// limit counts from the last time at which the version was not there yet, or
// from the end of an outage of the log. An outage of this process's own does
// not count beyond the time at which another process observed the version.
std::optional<Millis>
NamedVersion::GetLimitStart() const
{
  auto start = std::max(absentAt, outageAt);
  return start ? std::optional(std::min(*start, observedAt)) : std::nullopt;
}

bool
NamedVersions::Add(const std::string& aModel, const NamedVersion& aNamed)
{
  auto& row = versions_[aModel];
  auto place =
    std::ranges::lower_bound(row, aNamed.version, {}, &NamedVersion::version);
  if (place != row.end() && place->version == aNamed.version) {
    return false;
  }
  row.insert(place, aNamed);
  auto newestAt = row.back().observedAt;
  while (row.size() > kMaxVersions ||
         (row.size() > 1 && newestAt - row[1].observedAt > kRetention)) {
    row.erase(row.begin());
  }
  return true;
}

bool
NamedVersions::IsNewer(const std::string& aModel, std::uint64_t aVersion) const
{
  auto newest = Find(aModel);
  return !newest || aVersion > newest->version;
}

bool
NamedVersions::Narrow(const std::string& aModel, const NamedVersion& aReported)
{
  auto row = versions_.find(aModel);
  if (row == versions_.end()) {
    return false;
  }
  auto held =
    std::ranges::find(row->second, aReported.version, &NamedVersion::version);
  if (held == row->second.end()) {
    return false;
  }
  held->observedAt = std::min(held->observedAt, aReported.observedAt);
  held->absentAt = std::max(held->absentAt, aReported.absentAt);
  return true;
}

std::optional<NamedVersion>
NamedVersions::Find(const std::string& aModel) const
{
  auto row = versions_.find(aModel);
  return row == versions_.end() ? std::nullopt
                                : std::optional(row->second.back());
}

std::optional<NamedVersion>
NamedVersions::FindNext(const std::string& aModel, std::uint64_t aAfter) const
{
  auto row = versions_.find(aModel);
  if (row == versions_.end()) {
    return std::nullopt;
  }
  auto next =
    std::ranges::upper_bound(row->second, aAfter, {}, &NamedVersion::version);
  return next == row->second.end() ? std::nullopt : std::optional(*next);
}

std::uint64_t
NamedVersions::FindOfAge(const std::string& aModel,
                         Millis aAge,
                         Millis aNow) const
{
  auto row = versions_.find(aModel);
  if (row == versions_.end()) {
    return 0;
  }
  auto found = std::find_if(
    row->second.rbegin(), row->second.rend(), [&](const NamedVersion& aNamed) {
      auto start = aNamed.GetLimitStart();
      return !start || aNow - *start >= aAge;
    });
  return found == row->second.rend() ? 0 : found->version;
}

void
NamedVersions::Fill(schema::OperatorRecord& aRecord, Millis aNow) const
{
  for (const auto& [model, versions] : versions_) {
    for (const auto& named : versions) {
      auto& row = *aRecord.add_versions();
      row.set_model(model);
      row.set_version(named.version);
      row.set_learnt_live(named.absentAt.has_value());
      row.set_age_ms(GetAge(named.absentAt.value_or(aNow), aNow));
      row.set_observed_age_ms(GetAge(named.observedAt, aNow));
    }
  }
}

// The sender's ages have grown by something between 0 and aDelay. Each bound is
// taken from the end that keeps it a bound, so that a time which is passed on
// and back doesn't drift.
NamedVersion
ReadNamedVersion(const schema::NamedVersionRecord& aRow,
                 Millis aDelay,
                 Millis aNow)
{
  NamedVersion named;
  named.version = aRow.version();
  named.observedAt = aNow - utils::BoundMillis(aRow.observed_age_ms());
  if (aRow.learnt_live()) {
    named.absentAt = aNow - aDelay - utils::BoundMillis(aRow.age_ms());
  }
  return named;
}

} // namespace waxwingyoke::fleet
