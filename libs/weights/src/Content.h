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

/** One chunk of a version. */
struct ChunkInfo
{
  utils::Digest digest;
  std::uint64_t bytes = 0;
};

/** The distinct chunks of one version, in the manifest's order. */
struct Content
{
  utils::Digest version;
  /** The manifest's bytes, whose digest is the version. */
  std::string manifest;
  std::vector<ChunkInfo> chunks;
  std::unordered_map<utils::Digest, std::size_t> indexes;
  std::uint64_t bytes = 0;

  /** Empty with DigestMismatch where the bytes are not that version's. */
  static std::shared_ptr<const Content> Read(const utils::Digest& aVersion,
                                             std::string aManifest,
                                             utils::Error& aReason);

  std::optional<std::size_t> FindIndex(const utils::Digest& aChunk) const;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Content_h
