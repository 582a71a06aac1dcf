#include "PermitDesk.h"

#include <algorithm>

#include <telemetry/Logger.h>
#include <utils/Hash.h>

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

PermitDesk::PermitDesk(const Services& aServices, RolloutLog& aLog)
  : services_(aServices)
  , log_(aLog)
{
}

const Permit*
PermitDesk::FindOwn() const
{
  return log_.GetPermits().Find(profile_,
                                revision_,
                                services_.settings.node().vm(),
                                services_.node.GetIncarnation());
}

bool
PermitDesk::Poll(const schema::Profile& aProfile, utils::Error& aReason)
{
  if (profile_ != aProfile.name() || revision_ != aProfile.revision()) {
    Release();
  }
  auto before = clock_.Now();
  bool done =
    profile_.empty() ? Request(aProfile, aReason) : log_.Sync(aReason);
  if (!done) {
    return false;
  }
  FreeExpired(profile_);
  const auto* own = FindOwn();
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

bool
PermitDesk::IsValid() const
{
  return deadline_ && clock_.Now() < *deadline_;
}

void
PermitDesk::Release()
{
  if (profile_.empty()) {
    return;
  }
  Permit own;
  own.vm = services_.settings.node().vm();
  own.incarnation = services_.node.GetIncarnation();
  own.revision = revision_;
  // One that is lost is freed by the others in time.
  SendRelease(profile_, own);
  profile_.clear();
  deadline_.reset();
}

bool
PermitDesk::Request(const schema::Profile& aProfile, utils::Error& aReason)
{
  notGrantedAt_ = clock_.Now();
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto& request = *record.mutable_permit_request();
  request.set_profile(aProfile.name());
  request.set_revision(aProfile.revision());
  request.set_vm(services_.settings.node().vm());
  request.set_incarnation(services_.node.GetIncarnation());
  request.set_max_unavailable(aProfile.switch_over().max_unavailable());
  if (!log_.Append(record, aReason)) {
    return false;
  }
  profile_ = aProfile.name();
  revision_ = aProfile.revision();
  return true;
}

bool
PermitDesk::SendRelease(const std::string& aProfile, const Permit& aPermit)
{
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto& release = *record.mutable_permit_release();
  release.set_profile(aProfile);
  release.set_revision(aPermit.revision);
  release.set_vm(aPermit.vm);
  release.set_incarnation(aPermit.incarnation);
  utils::Error reason;
  return log_.Append(record, reason);
}

void
PermitDesk::FreeExpired(const std::string& aProfile)
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
PermitDesk::KeepsMinimum(const schema::Profile& aProfile) const
{
  auto ready = CountReadyOthers(*services_.node.GetView(),
                                aProfile.name(),
                                services_.settings.node().vm(),
                                log_.GetPermits().GetPermits(aProfile.name()));
  return ready >= aProfile.switch_over().min_ready();
}

} // namespace waxwingyoke::weights
