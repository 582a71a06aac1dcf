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

/** A digest as the 32 bytes that a manifest holds. */
std::string
DigestToBytes(const utils::Digest& aDigest);

/** Empty for anything but 32 bytes. */
std::optional<utils::Digest>
DigestFromBytes(std::string_view aBytes);

/** The bytes of one chunk, made from its seed and place. */
std::string
MakeChunk(std::uint64_t aSeed, std::size_t aIndex, std::size_t aBytes);

/** A version whose chunks are made anew at each read: it costs no memory. */
class Content
{
public:
  /** Where a chunk's bytes come from. */
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
