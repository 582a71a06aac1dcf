#ifndef waxwingyoke_waxwingyoked_FleetRole_h
#define waxwingyoke_waxwingyoked_FleetRole_h

#include <optional>

namespace waxwingyoke::daemon {

/** A role on the users' platform, whose settings the platform provides. */
enum class FleetRole
{
  Entry,
  Side
};

/** The role that the first argument names; empty for any other start. */
std::optional<FleetRole>
FindFleetRole(int aCount, char** aArguments);

/** Serves until a signal; returns the exit code of a start that failed. */
int
RunFleetRole(FleetRole aRole);

} // namespace waxwingyoke::daemon

#endif // waxwingyoke_waxwingyoked_FleetRole_h
