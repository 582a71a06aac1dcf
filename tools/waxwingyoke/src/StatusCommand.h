#ifndef waxwingyoke_waxwingyoke_StatusCommand_h
#define waxwingyoke_waxwingyoke_StatusCommand_h

#include <cstdint>

#include <utils/Time.h>

#include "PlatformClients.h"

namespace waxwingyoke::tool {

/**
 * Waits up to aWait until aOffset is in force on every node and prints the
 * status. Returns 0 if it is in force, the exit code of TimedOut if not, or
 * that of the error if the status can't be read.
 */
int
WaitInForce(const PlatformClients& aClients,
            std::uint64_t aOffset,
            utils::Millis aWait);

} // namespace waxwingyoke::tool

#endif // waxwingyoke_waxwingyoke_StatusCommand_h
