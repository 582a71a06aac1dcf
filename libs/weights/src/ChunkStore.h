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
 * The versions and checked chunks that this process has in memory; safe from
 * every thread.
 *
 * A chunk enters only with bytes of its own digest, so whatever is read from
 * here may be passed on. The bytes held never exceed the bound.
 */
class ChunkStore
{
public:
  using Bytes = std::shared_ptr<const std::string>;

  explicit ChunkStore(std::uint64_t aMaxBytes);

  /**
   * Makes aContent one of the versions kept; chunks that other versions
   * brought in count for it too.
   */
  void AddContent(const std::shared_ptr<const Content>& aContent);

  /** Drops every version but those, with the chunks that none of them has. */
  void KeepOnly(const std::set<utils::Digest>& aVersions);

  /** False with DigestMismatch or TooLarge. */
  bool AddChunk(const utils::Digest& aChunk,
                std::string aBytes,
                utils::Error& aReason);

  /** Null where it is not held. */
  Bytes FindChunk(const utils::Digest& aChunk) const;

  /** The same among the chunks of whole versions only. */
  Bytes FindWholeChunk(const utils::Digest& aChunk) const;

  std::shared_ptr<const Content> FindContent(
    const utils::Digest& aVersion) const;

  std::optional<ChunkSet> FindHeld(const utils::Digest& aVersion) const;

  /** Whether every chunk of it is held. */
  bool IsWhole(const utils::Digest& aVersion) const;

  std::uint64_t GetBytes() const;
  std::uint64_t GetMaxBytes() const { return maxBytes_; }

private:
  struct Kept
  {
    std::shared_ptr<const Content> content;
    ChunkSet held;
  };

  const std::uint64_t maxBytes_;
  mutable boost::fibers::mutex mutex_;
  std::map<utils::Digest, Kept> versions_;
  std::unordered_map<utils::Digest, Bytes> chunks_;
  std::uint64_t bytes_ = 0;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_ChunkStore_h
