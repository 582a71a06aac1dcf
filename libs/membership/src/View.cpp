#include <membership/View.h>

namespace waxwingyoke::membership {

net::Endpoint
Member::GetControlEndpoint() const
{
  return { vm.address(), static_cast<std::uint16_t>(vm.control_port()) };
}

bool
Member::IsLeaving() const
{
  return vm.leaving() || (status && status->leaving());
}

const Member*
View::FindMember(const std::string& aVm) const
{
  auto found = members.find(aVm);
  return found == members.end() ? nullptr : &found->second;
}

} // namespace waxwingyoke::membership
