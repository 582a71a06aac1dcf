#ifndef waxwingyoke_fakes_Content_h
#define waxwingyoke_fakes_Content_h

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <fakes.pb.h>

#include <utils/Digest.h>

namespace waxwingyoke::fakes {

/** Converts a digest to the 32 raw bytes used in a manifest. */
std::string
DigestToBytes(const utils::Digest& aDigest);

/** Converts raw bytes to a digest; empty unless there are exactly 32. */
std::optional<utils::Digest>
DigestFromBytes(std::string_view aBytes);

/** Generates the bytes of a chunk from its seed and its index in the file. */
std::string
MakeChunk(std::uint64_t aSeed, std::size_t aIndex, std::size_t aBytes);

/**
 * A weights version whose chunks are generated from their seeds at each read,
 * so that only the digests and the manifest are kept in memory.
 */
class Content
{
public:
  /** The inputs from which MakeChunk generates a chunk. */
  struct ChunkSource
  {
    std::uint64_t seed = 0;
    std::size_t index = 0;
    std::size_t bytes = 0;
  };

  explicit Content(const VersionSpec& aSpec);

  const std::string& GetManifest() const { return manifest_; }
  const utils::Digest& GetVersion() const { return version_; }
  std::uint64_t GetBytes() const { return bytes_; }

  const std::unordered_map<utils::Digest, ChunkSource>& GetChunks() const
  {
    return chunks_;
  }

private:
  std::unordered_map<utils::Digest, ChunkSource> chunks_;
  std::string manifest_;
  utils::Digest version_;
  std::uint64_t bytes_ = 0;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_Content_h
