#ifndef waxwingyoke_weights_StepIn_h
#define waxwingyoke_weights_StepIn_h

#include <cstddef>
#include <string>
#include <vector>

#include <utils/Time.h>

#include "PeerBook.h"

namespace waxwingyoke::weights {

/** A version is cut into this many extents at most. */
inline constexpr std::size_t kMaxExtents = 48;

/** How many extents a version of that many chunks has. */
std::size_t
CountExtents(std::size_t aChunks);

/** The extent that a chunk belongs to: neighbours share one. */
std::size_t
GetExtent(std::size_t aChunk, std::size_t aChunks);

/**
 * Who of a region brings in one extent from outside: the sides in the order
 * of their rendezvous hash, first rank first.
 */
std::vector<std::string>
RankFetchers(const std::string& aVersion,
             std::size_t aExtent,
             std::vector<std::string> aVms);

/**
 * Whether this VM should fetch an extent from outside now. Rank 0 does at
 * once; rank k once every lower rank is unknown or has held nothing new for
 * k times aPatience. So the ranks step in one by one, not all together, and
 * nobody steps in before a rank that is only slow.
 */
bool
IsStepInDue(const std::vector<std::string>& aRanks,
            const std::string& aVm,
            const PeerBook& aPeers,
            utils::Millis aPatience,
            utils::Millis aNow);

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_StepIn_h
