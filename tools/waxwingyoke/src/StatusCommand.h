#ifndef waxwingyoke_waxwingyoke_StatusCommand_h
#define waxwingyoke_waxwingyoke_StatusCommand_h

#include <cstdint>

#include <utils/Time.h>

#include "Platform.h"

namespace waxwingyoke::tool {

/**
 * Waits until aOffset is in force on every node and prints where it is not;
 * the exit code tells which.
 */
int
WaitInForce(const Platform& aPlatform,
            std::uint64_t aOffset,
            utils::Millis aWait);

} // namespace waxwingyoke::tool

#endif // waxwingyoke_waxwingyoke_StatusCommand_h
