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

/** A VM of the platform's list with the latest that its process said. */
struct Member
{
  schema::Vm vm;
  /** Empty until its process was heard of. */
  std::optional<schema::NodeStatus> status;

  /** Where its process takes calls from other processes of ours. */
  net::Endpoint GetControlEndpoint() const;

  /** Whether the list or the process itself says that it goes. */
  bool IsLeaving() const;
};

/**
 * What one node knows of all the others: immutable, replaced whole. The VM
 * list lags and statuses are late, so each row is a hint.
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
