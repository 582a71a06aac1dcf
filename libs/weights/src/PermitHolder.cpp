#include "PermitHolder.h"

#include <algorithm>
#include <utility>

#include <telemetry/Logger.h>
#include <utils/Hash.h>

#include "PermitPolling.h"

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

bool
IsOrphaned(const membership::View& aView, const Permit& aPermit)
{
  const auto* member = aView.FindMember(aPermit.vm);
  if (member == nullptr) {
    return true;
  }
  return member->status && member->status->incarnation() != aPermit.incarnation;
}

} // namespace

std::size_t
CountReadyOthers(const membership::View& aView,
                 const std::string& aProfile,
                 const std::string& aVm,
                 const std::vector<Permit>& aPermits)
{
  auto isUnavailable = [&](const std::string& aOther) {
    return aOther == aVm ||
           std::ranges::any_of(aPermits, [&](const Permit& aPermit) {
             return aPermit.granted && aPermit.vm == aOther;
           });
  };
  return static_cast<std::size_t>(
    std::ranges::count_if(aView.members, [&](const auto& aEntry) {
      const auto& [vm, member] = aEntry;
      return member.status && member.status->ready_profile() == aProfile &&
             !member.status->ready_version().empty() && !member.IsLeaving() &&
             !isUnavailable(vm);
    }));
}

PermitHolder::PermitHolder(const ReplicatorContext& aContext, RolloutLog& aLog)
  : context_(aContext)
  , log_(aLog)
{
}

const Permit*
PermitHolder::FindOwn(const std::string& aProfile,
                      std::uint64_t aRevision) const
{
  return log_.GetPermits().Find(aProfile,
                                aRevision,
                                context_.settings.node().vm(),
                                context_.node.GetIncarnation());
}

// The request may reach the log even if its append seems to fail, so the
// permit's validity is counted from before the append.
void
PermitHolder::BeginRequest(const schema::Profile& aProfile)
{
  profile_ = aProfile.name();
  revision_ = aProfile.revision();
  isRequested_ = false;
  notGrantedAt_ = clock_.Now();
}

bool
PermitHolder::Poll(const schema::Profile& aProfile, utils::Error& aReason)
{
  if (profile_ != aProfile.name() || revision_ != aProfile.revision()) {
    Release();
    // A new request could be matched with the permit that is yet to be
    // released.
    if (!pendingReleases_.empty()) {
      aReason.Set(ErrorKind::LogUnavailable,
                  "the release of an earlier permit is not confirmed");
      return false;
    }
    BeginRequest(aProfile);
  }
  auto before = clock_.Now();
  isRequested_ = isRequested_ || Request(aProfile, aReason);
  if (!isRequested_ || !log_.Sync(aReason)) {
    return false;
  }
  ReleaseExpired(profile_);
  const auto* own = FindOwn(profile_, revision_);
  if (own == nullptr) {
    // Released by another process, or superseded by a newer revision.
    profile_.clear();
    deadline_.reset();
    aReason.Set(ErrorKind::Conflict,
                "the switch-over permit was released or superseded");
    return false;
  }
  if (!own->granted) {
    notGrantedAt_ = before;
    aReason.Set(ErrorKind::Overloaded, "waits for a switch-over's permit");
    return false;
  }
  deadline_ = deadline_.value_or(notGrantedAt_ + kPermitHoldTime);
  if (!IsValid()) {
    Release();
    aReason.Set(ErrorKind::DeadlineExceeded,
                "the switch-over permit has expired");
    return false;
  }
  if (!KeepsMinReady(aProfile)) {
    aReason.Set(ErrorKind::Overloaded, "too few sides would stay ready");
    return false;
  }
  return true;
}

utils::Millis
PermitHolder::GetRetryDelay(const schema::Profile& aProfile) const
{
  const auto* own = FindOwn(aProfile.name(), aProfile.revision());
  return GetPollPause(log_.GetPermits().GetPermits(aProfile.name()),
                      own ? own->offset : 0,
                      aProfile.switch_over().max_unavailable());
}

bool
PermitHolder::IsValid() const
{
  return deadline_ && clock_.Now() < *deadline_;
}

void
PermitHolder::Release()
{
  if (!profile_.empty()) {
    pendingReleases_.push_back({ profile_, revision_ });
    profile_.clear();
    deadline_.reset();
  }
  FlushReleases();
}

void
PermitHolder::FlushReleases()
{
  std::vector<PendingRelease> remaining;
  for (const auto& pending : pendingReleases_) {
    if (!CompleteRelease(pending)) {
      remaining.push_back(pending);
    }
  }
  pendingReleases_ = std::move(remaining);
}

// Reads the log first: a release whose response was lost is already there.
bool
PermitHolder::CompleteRelease(const PendingRelease& aPending)
{
  utils::Error reason;
  if (!log_.Sync(reason)) {
    return false;
  }
  const auto* own = FindOwn(aPending.profile, aPending.revision);
  return own == nullptr || SendRelease(aPending.profile, Permit(*own));
}

bool
PermitHolder::Request(const schema::Profile& aProfile, utils::Error& aReason)
{
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto& request = *record.mutable_permit_request();
  request.set_profile(aProfile.name());
  request.set_revision(aProfile.revision());
  request.set_vm(context_.settings.node().vm());
  request.set_incarnation(context_.node.GetIncarnation());
  request.set_max_unavailable(aProfile.switch_over().max_unavailable());
  return log_.Append(record, aReason);
}

bool
PermitHolder::SendRelease(const std::string& aProfile, const Permit& aPermit)
{
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto& release = *record.mutable_permit_release();
  release.set_profile(aProfile);
  release.set_revision(aPermit.revision);
  release.set_vm(aPermit.vm);
  release.set_incarnation(aPermit.incarnation);
  release.set_request_offset(aPermit.offset);
  utils::Error reason;
  return log_.Append(record, reason);
}

void
PermitHolder::ReleaseExpired(const std::string& aProfile)
{
  auto view = context_.node.GetView();
  auto expired = expiry_.ListExpired(
    log_.GetPermits().GetPermits(aProfile),
    [&](const Permit& aPermit) { return IsOrphaned(*view, aPermit); },
    clock_.Now());
  std::ranges::for_each(
    expired, [&](const Permit& aPermit) { SendRelease(aProfile, aPermit); });
}

bool
PermitHolder::KeepsMinReady(const schema::Profile& aProfile) const
{
  auto ready = CountReadyOthers(*context_.node.GetView(),
                                aProfile.name(),
                                context_.settings.node().vm(),
                                log_.GetPermits().GetPermits(aProfile.name()));
  return ready >= aProfile.switch_over().min_ready();
}

} // namespace waxwingyoke::weights
