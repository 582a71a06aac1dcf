#ifndef waxwingyoke_weights_PermitPolling_h
#define waxwingyoke_weights_PermitPolling_h

#include <cstdint>
#include <vector>

#include <utils/Time.h>

#include "PermitFold.h"

namespace waxwingyoke::weights {

/**
 * The interval at which the process whose request is at aOffset polls the log.
 * It grows with each group of aLimit requests ahead in the queue, so that the
 * load on the log does not grow with the number of waiting VMs.
 */
utils::Millis
GetPollPause(const std::vector<Permit>& aPermits,
             std::uint64_t aOffset,
             std::uint32_t aLimit);

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_PermitPolling_h
