#ifndef waxwingyoke_weights_PermitPace_h
#define waxwingyoke_weights_PermitPace_h

#include <cstdint>
#include <vector>

#include <utils/Time.h>

#include "PermitFold.h"

namespace waxwingyoke::weights {

/**
 * How long a holder of aOffset's place in the queue waits until it looks at
 * the log again: longer for each group of aLimit VMs before it, so that the
 * log's readers do not grow with the VMs that wait.
 */
utils::Millis
GetPollPause(const std::vector<Permit>& aPermits,
             std::uint64_t aOffset,
             std::uint32_t aLimit);

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_PermitPace_h
