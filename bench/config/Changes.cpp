#include "Changes.h"

#include <algorithm>
#include <cmath>

namespace waxwingyoke::bench {

namespace {

constexpr std::size_t kProfiles = 10;

schema::ProfileChange
MakeChange(std::size_t aProfile, std::size_t aCount, std::uint64_t aReplaces)
{
  schema::ProfileChange change;
  change.set_author("bench");
  change.set_kind(aReplaces ? schema::CHANGE : schema::PUBLISH);
  change.set_replaces_revision(aReplaces);
  auto& profile = *change.mutable_profile();
  auto name = "bench-" + std::to_string(aProfile);
  profile.set_name(name);
  profile.set_kind(schema::SERVICE);
  // The first profile selects the group of the plain services; the others
  // select groups without members.
  profile.mutable_vms()->set_group(aProfile == 0 ? bed::kServiceGroup : name);
  auto& rule = *profile.mutable_requests()->add_idempotent();
  rule.set_method("GET");
  rule.set_path_prefix("/status/" + std::to_string(aCount));
  return change;
}

std::int64_t
FindLatestTime(const AcceptedChange& aChange,
               const std::vector<Timeline>& aNodes)
{
  std::int64_t latest = 0;
  for (const auto& node : aNodes) {
    auto time = node.FindTime(aChange.revision);
    if (time < 0) {
      return -1;
    }
    latest = std::max(latest, time);
  }
  return latest;
}

std::int64_t
PickQuantile(const std::vector<std::int64_t>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return -1;
  }
  auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(std::lround(last * aShare))];
}

} // namespace

ChangePublisher::ChangePublisher(bed::Bed& aBed)
  : log_(aBed.GetClient(), aBed.GetEndpoint(bed::Service::Log))
  , publisher_(log_)
  , revisions_(kProfiles)
{
}

bool
ChangePublisher::PublishNext()
{
  auto profile = count_ % kProfiles;
  auto change = MakeChange(profile, count_, revisions_[profile]);
  ++count_;
  AcceptedChange accepted;
  accepted.sentMs = utils::GetWallTime().value;
  utils::Error reason;
  auto result = publisher_.Publish(change, "", reason);
  if (!result || result->kind != profiles::PublishResult::Kind::Accepted) {
    ++refused_;
    return false;
  }
  accepted.revision = result->revision;
  revisions_[profile] = result->revision;
  accepted_.push_back(accepted);
  return true;
}

InForceTimes
MeasureInForce(const std::vector<AcceptedChange>& aChanges,
               const std::vector<Timeline>& aNodes,
               std::int64_t aFaultEndMs)
{
  InForceTimes times;
  std::vector<std::int64_t> sorted;
  std::ranges::for_each(aChanges, [&](const AcceptedChange& aChange) {
    auto latest = FindLatestTime(aChange, aNodes);
    if (latest < 0) {
      ++times.neverInForce;
      return;
    }
    auto from = std::max(aChange.sentMs, aFaultEndMs);
    sorted.push_back(std::max<std::int64_t>(latest - from, 0));
  });
  std::ranges::sort(sorted);
  times.p50Ms = PickQuantile(sorted, 0.5);
  times.p99Ms = PickQuantile(sorted, 0.99);
  times.maxMs = PickQuantile(sorted, 1);
  std::ranges::for_each(aNodes, [&times](const Timeline& aNode) {
    times.reverts += aNode.reverts;
  });
  return times;
}

} // namespace waxwingyoke::bench
