#ifndef waxwingyoke_weights_ChunkStore_h
#define waxwingyoke_weights_ChunkStore_h

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include <boost/fiber/mutex.hpp>

#include "ChunkSet.h"
#include "Content.h"

namespace waxwingyoke::weights {

/**
 * The manifests and chunks that this process keeps in memory. Callable from any
 * thread.
 *
 * A chunk is stored only if its bytes match its digest, so stored chunks can be
 * passed on unchecked. The bytes of the chunks never exceed the bound.
 */
class ChunkStore
{
public:
  using Bytes = std::shared_ptr<const std::string>;

  explicit ChunkStore(std::uint64_t aMaxBytes);

  /** Adds a version; chunks that are already stored for other versions count
   * as held. */
  void AddContent(const std::shared_ptr<const Content>& aContent);

  /** Evicts all versions but aVersions, and the chunks that none of these
   * contains. */
  void KeepOnly(const std::set<utils::Digest>& aVersions);

  /** Stores a chunk; false with DigestMismatch or TooLarge (bound reached). */
  bool AddChunk(const utils::Digest& aChunk,
                std::string aBytes,
                utils::Error& aReason);

  /** Null where the chunk is not stored. */
  Bytes FindChunk(const utils::Digest& aChunk) const;

  /** Null where the chunk does not belong to a complete version. */
  Bytes FindChunkOfCompleteVersion(const utils::Digest& aChunk) const;

  /** Null where the manifest is not stored. */
  std::shared_ptr<const Content> FindContent(
    const utils::Digest& aVersion) const;

  /** The stored chunks; empty where the manifest is not stored. */
  std::optional<ChunkSet> FindHeldChunks(const utils::Digest& aVersion) const;

  /** Whether the manifest and all chunks are stored. */
  bool IsComplete(const utils::Digest& aVersion) const;

  std::uint64_t GetBytes() const;
  std::uint64_t GetMaxBytes() const { return maxBytes_; }

private:
  struct StoredVersion
  {
    std::shared_ptr<const Content> content;
    ChunkSet held;
  };

  const std::uint64_t maxBytes_;
  mutable boost::fibers::mutex mutex_;
  std::map<utils::Digest, StoredVersion> versions_;
  std::unordered_map<utils::Digest, Bytes> chunks_;
  std::uint64_t bytes_ = 0;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_ChunkStore_h
