#ifndef waxwingyoke_weights_Content_h
#define waxwingyoke_weights_Content_h

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <utils/Digest.h>
#include <utils/Error.h>

namespace waxwingyoke::weights {

/** The digest and size of one chunk. */
struct ChunkInfo
{
  utils::Digest digest;
  std::uint64_t bytes = 0;
};

/** A version's parsed manifest: its distinct chunks in manifest order. */
struct Content
{
  utils::Digest version;
  /** The serialised manifest, whose digest is the version. */
  std::string manifest;
  std::vector<ChunkInfo> chunks;
  /** Positions in chunks. */
  std::unordered_map<utils::Digest, std::size_t> indexes;
  /** The total size of chunks. */
  std::uint64_t bytes = 0;

  /** Parses a manifest. Null with DigestMismatch where the bytes do not match
   * aVersion or can't be parsed. */
  static std::shared_ptr<const Content> Read(const utils::Digest& aVersion,
                                             std::string aManifest,
                                             utils::Error& aReason);

  std::optional<std::size_t> FindIndex(const utils::Digest& aChunk) const;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Content_h
