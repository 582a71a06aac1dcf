#ifndef waxwingyoke_weights_FetchFailover_h
#define waxwingyoke_weights_FetchFailover_h

#include <cstddef>
#include <string>
#include <vector>

#include <utils/Time.h>

#include "PeerRegistry.h"

namespace waxwingyoke::weights {

/** The maximum number of extents that a version's chunks are split into. */
inline constexpr std::size_t kMaxExtents = 48;

/** The number of extents of a version that has aChunks chunks. */
std::size_t
CountExtents(std::size_t aChunks);

/** The extent that a chunk belongs to; adjacent chunks share one. */
std::size_t
GetExtent(std::size_t aChunk, std::size_t aChunks);

/**
 * The sides of a region in the order of their rendezvous hash: the order in
 * which they become responsible for fetching one extent from outside the
 * region. Rank 0 comes first.
 */
std::vector<std::string>
RankFetchers(const std::string& aVersion,
             std::size_t aExtent,
             std::vector<std::string> aVms);

/**
 * Whether aVm should fetch an extent from outside the region now. Rank 0
 * fetches immediately; rank k once every lower rank is unlisted or has reported
 * no new chunk for k times aRankTimeout. The ranks thus take over one at a
 * time, and a lower rank that is slow but makes progress is not replaced.
 */
bool
IsFailoverDue(const std::vector<std::string>& aRanks,
              const std::string& aVm,
              const PeerRegistry& aPeers,
              utils::Millis aRankTimeout,
              utils::Millis aNow);

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_FetchFailover_h
