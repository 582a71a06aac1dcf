#ifndef waxwingyoke_waxwingyoked_FleetRole_h
#define waxwingyoke_waxwingyoked_FleetRole_h

#include <optional>

namespace waxwingyoke::daemon {

/** A role in the fleet, where the platform provides the settings file. */
enum class FleetRole
{
  Entry,
  Side
};

/** The role that the first argument names; empty if it names none. */
std::optional<FleetRole>
ParseFleetRole(int aCount, char** aArguments);

/**
 * Serves until a stop signal, then exits the process. Returns only if the
 * settings can't be read, with the exit code.
 */
int
RunFleetRole(FleetRole aRole);

} // namespace waxwingyoke::daemon

#endif // waxwingyoke_waxwingyoked_FleetRole_h
