#include "PermitFold.h"

#include <algorithm>

namespace waxwingyoke::weights {

void
PermitFold::Apply(std::uint64_t aOffset, const schema::PermitRequest& aRequest)
{
  auto& queue = queues_[aRequest.profile()];
  if (aRequest.revision() < queue.revision) {
    return;
  }
  if (aRequest.revision() > queue.revision) {
    queue.revision = aRequest.revision();
    queue.limit = std::max<std::uint32_t>(1, aRequest.max_unavailable());
    // VMs that wait for an older revision have to request again. Holders of a
    // granted permit may be out of service and count until it is released.
    std::erase_if(queue.permits,
                  [](const Permit& aPermit) { return !aPermit.granted; });
  }
  bool repeated = Find(aRequest.profile(),
                       aRequest.revision(),
                       aRequest.vm(),
                       aRequest.incarnation()) != nullptr;
  if (!repeated) {
    // A VM runs one process at a time, so permits of its earlier processes are
    // obsolete.
    std::erase_if(queue.permits, [&](const Permit& aPermit) {
      return aPermit.vm == aRequest.vm();
    });
    queue.permits.push_back({ aOffset,
                              aRequest.vm(),
                              aRequest.incarnation(),
                              aRequest.revision(),
                              false });
  }
  Grant(queue);
}

void
PermitFold::Apply(const schema::PermitRelease& aRelease)
{
  auto& queue = queues_[aRelease.profile()];
  std::erase_if(queue.permits, [&](const Permit& aPermit) {
    return aPermit.vm == aRelease.vm() &&
           aPermit.incarnation == aRelease.incarnation() &&
           aPermit.revision == aRelease.revision() &&
           aPermit.offset == aRelease.request_offset();
  });
  Grant(queue);
}

const std::vector<Permit>&
PermitFold::GetPermits(const std::string& aProfile) const
{
  static const std::vector<Permit> sNone;
  auto found = queues_.find(aProfile);
  return found == queues_.end() ? sNone : found->second.permits;
}

const Permit*
PermitFold::Find(const std::string& aProfile,
                 std::uint64_t aRevision,
                 const std::string& aVm,
                 const std::string& aIncarnation) const
{
  const auto& permits = GetPermits(aProfile);
  auto found = std::ranges::find_if(permits, [&](const Permit& aPermit) {
    return aPermit.revision == aRevision && aPermit.vm == aVm &&
           aPermit.incarnation == aIncarnation;
  });
  return found == permits.end() ? nullptr : &*found;
}

void
PermitFold::Grant(Queue& aQueue)
{
  auto granted = std::ranges::count_if(aQueue.permits, &Permit::granted);
  for (auto& permit : aQueue.permits) {
    if (!permit.granted && granted < aQueue.limit) {
      permit.granted = true;
      ++granted;
    }
  }
}

} // namespace waxwingyoke::weights
