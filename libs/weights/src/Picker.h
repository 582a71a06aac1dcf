#ifndef waxwingyoke_weights_Picker_h
#define waxwingyoke_weights_Picker_h

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include <utils/Time.h>

#include "ChunkSet.h"
#include "PeerBook.h"

namespace waxwingyoke::weights {

/** What the choice of the next fetch depends on. */
struct PickInput
{
  const std::string& vm;
  const std::string& region;
  const ChunkSet& held;
  /** Chunks that are being fetched now. */
  const std::set<std::size_t>& running;
  const PeerBook& peers;
  utils::Millis now;
};

/** One chunk and the peer to fetch it from. */
struct Pick
{
  std::size_t chunk = 0;
  std::string peer;
};

/**
 * The missing chunk that the fewest sides of the region hold, from the
 * holder that has given the fewest chunks so far. Equal ones are told apart
 * by a hash of this VM, so that the sides of a region differ. Empty where no
 * usable peer of the region has anything that is missing.
 */
std::optional<Pick>
PickFromRegion(const PickInput& aInput);

/** A peer of another region that holds aChunk; empty where none does. */
std::optional<std::string>
PickRemotePeer(const PickInput& aInput, std::size_t aChunk);

/** How many sides of the region hold aChunk, as far as known; those whose
 * last fetches failed do not count. */
std::size_t
CountHolders(const PickInput& aInput, std::size_t aChunk);

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Picker_h
