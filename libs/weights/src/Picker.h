#ifndef waxwingyoke_weights_Picker_h
#define waxwingyoke_weights_Picker_h

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include <utils/Time.h>

#include "ChunkSet.h"
#include "PeerRegistry.h"

namespace waxwingyoke::weights {

/** The inputs of the choice of the next chunk and its source. */
struct PickInput
{
  const std::string& vm;
  const std::string& region;
  const ChunkSet& held;
  /** Chunks that are being fetched. */
  const std::set<std::size_t>& inFlight;
  const PeerRegistry& peers;
  utils::Millis now;
};

/** One chunk and the peer to fetch it from. */
struct Pick
{
  std::size_t chunk = 0;
  std::string peer;
};

/**
 * Picks the missing chunk that the fewest sides of the region hold
 * (rarest first), and the holder that has uploaded the fewest chunks. A hash
 * that includes this VM's name breaks ties, so that the sides of a region pick
 * different chunks and holders. Empty where no usable peer of the region holds
 * a missing chunk.
 */
std::optional<Pick>
PickFromRegion(const PickInput& aInput);

/** A usable peer of another region that holds aChunk; empty if none does. */
std::optional<std::string>
PickRemotePeer(const PickInput& aInput, std::size_t aChunk);

/**
 * The number of other sides of the region that offered aChunk. Peers that
 * failed repeatedly since their last complete chunk are not counted.
 */
std::size_t
CountHolders(const PickInput& aInput, std::size_t aChunk);

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Picker_h
