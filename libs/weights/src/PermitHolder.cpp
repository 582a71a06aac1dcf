#include "PermitHolder.h"

#include <algorithm>
#include <utility>

#include <telemetry/Logger.h>
#include <utils/Hash.h>

#include "PermitPace.h"

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

bool
IsHolderGone(const membership::View& aView, const Permit& aPermit)
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
  auto isOut = [&](const std::string& aOther) {
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
             !isOut(vm);
    }));
}

PermitHolder::PermitHolder(const Services& aServices, RolloutLog& aLog)
  : services_(aServices)
  , log_(aLog)
{
}

const Permit*
PermitHolder::FindOwn(const std::string& aProfile,
                      std::uint64_t aRevision) const
{
  return log_.GetPermits().Find(aProfile,
                                aRevision,
                                services_.settings.node().vm(),
                                services_.node.GetIncarnation());
}

// From here on the request may stand in the log, also where its append seems
// to have failed, so the time for which a permit is good is counted from here.
void
PermitHolder::Begin(const schema::Profile& aProfile)
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
    // A request now could be answered by the permit that is to be freed.
    if (!unwanted_.empty()) {
      aReason.Set(ErrorKind::LogUnavailable, "an earlier permit is not freed");
      return false;
    }
    Begin(aProfile);
  }
  auto before = clock_.Now();
  isRequested_ = isRequested_ || Request(aProfile, aReason);
  if (!isRequested_ || !log_.Sync(aReason)) {
    return false;
  }
  FreeExpired(profile_);
  const auto* own = FindOwn(profile_, revision_);
  if (own == nullptr) {
    // Freed by others, or overtaken by a newer revision.
    profile_.clear();
    deadline_.reset();
    aReason.Set(ErrorKind::Conflict, "the switch-over's permit was freed");
    return false;
  }
  if (!own->granted) {
    notGrantedAt_ = before;
    aReason.Set(ErrorKind::Overloaded, "waits for a switch-over's permit");
    return false;
  }
  deadline_ = deadline_.value_or(notGrantedAt_ + kPermitHold);
  if (!IsValid()) {
    Release();
    aReason.Set(ErrorKind::DeadlineExceeded, "the permit has run out");
    return false;
  }
  if (!KeepsMinimum(aProfile)) {
    aReason.Set(ErrorKind::Overloaded, "too few sides would stay ready");
    return false;
  }
  return true;
}

utils::Millis
PermitHolder::GetPause(const schema::Profile& aProfile) const
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
    unwanted_.push_back({ profile_, revision_ });
    profile_.clear();
    deadline_.reset();
  }
  FlushReleases();
}

void
PermitHolder::FlushReleases()
{
  std::vector<Unwanted> left;
  for (const auto& unwanted : unwanted_) {
    if (!ReleaseOne(unwanted)) {
      left.push_back(unwanted);
    }
  }
  unwanted_ = std::move(left);
}

// Looks at the log first: a release whose answer was lost stands there.
bool
PermitHolder::ReleaseOne(const Unwanted& aUnwanted)
{
  utils::Error reason;
  if (!log_.Sync(reason)) {
    return false;
  }
  const auto* own = FindOwn(aUnwanted.profile, aUnwanted.revision);
  return own == nullptr || SendRelease(aUnwanted.profile, Permit(*own));
}

bool
PermitHolder::Request(const schema::Profile& aProfile, utils::Error& aReason)
{
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto& request = *record.mutable_permit_request();
  request.set_profile(aProfile.name());
  request.set_revision(aProfile.revision());
  request.set_vm(services_.settings.node().vm());
  request.set_incarnation(services_.node.GetIncarnation());
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
PermitHolder::FreeExpired(const std::string& aProfile)
{
  auto view = services_.node.GetView();
  auto expired = expiry_.ListExpired(
    log_.GetPermits().GetPermits(aProfile),
    [&](const Permit& aPermit) { return IsHolderGone(*view, aPermit); },
    clock_.Now());
  std::ranges::for_each(
    expired, [&](const Permit& aPermit) { SendRelease(aProfile, aPermit); });
}

bool
PermitHolder::KeepsMinimum(const schema::Profile& aProfile) const
{
  auto ready = CountReadyOthers(*services_.node.GetView(),
                                aProfile.name(),
                                services_.settings.node().vm(),
                                log_.GetPermits().GetPermits(aProfile.name()));
  return ready >= aProfile.switch_over().min_ready();
}

} // namespace waxwingyoke::weights
