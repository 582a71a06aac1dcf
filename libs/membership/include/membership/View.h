#ifndef waxwingyoke_membership_View_h
#define waxwingyoke_membership_View_h

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <net/Endpoint.h>
#include <profiles/Config.h>
#include <schema/control.pb.h>

namespace waxwingyoke::membership {

/** A VM of the platform's list with the latest status of its process. */
struct Member
{
  schema::Vm vm;
  /** Empty until a status of its process was received. */
  std::optional<schema::NodeStatus> status;

  /** The control port on which its process serves calls of its peers. */
  net::Endpoint GetControlEndpoint() const;

  /** Whether the list or the process itself reports that the VM is leaving. */
  bool IsLeaving() const;
};

/**
 * One node's view of the configuration and of all members. Immutable: a change
 * publishes a new View. The VM list lags and statuses arrive late, so a member
 * may already have changed or left.
 */
struct View
{
  std::shared_ptr<const profiles::Config> config =
    std::make_shared<const profiles::Config>();
  /** By VM id. */
  std::map<std::string, Member> members;

  /** Null where the VM is not listed. */
  const Member* FindMember(const std::string& aVm) const;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_View_h
