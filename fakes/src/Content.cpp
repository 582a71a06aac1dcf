#include <fakes/Content.h>

#include <algorithm>
#include <cstring>

#include <schema/weights.pb.h>
#include <utils/Hash.h>

namespace waxwingyoke::fakes {

namespace {

// One step of the splitmix64 generator.
std::uint64_t
NextRandom(std::uint64_t& aState)
{
  aState += 0x9e3779b97f4a7c15ULL;
  auto mixed = aState;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

using ChunkTable = std::unordered_map<utils::Digest, Content::ChunkSource>;

void
AddChunk(const Content::ChunkSource& aSource,
         schema::WeightsFile& aFile,
         ChunkTable& aChunks)
{
  auto bytes = MakeChunk(aSource.seed, aSource.index, aSource.bytes);
  auto digest = utils::Digest::Of(bytes);
  aChunks[digest] = aSource;
  auto* chunk = aFile.add_chunks();
  chunk->set_digest(DigestToBytes(digest));
  chunk->set_bytes(static_cast<std::uint32_t>(aSource.bytes));
}

} // namespace

std::string
DigestToBytes(const utils::Digest& aDigest)
{
  constexpr int kHex = 16;
  auto hex = aDigest.ToHex();
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, kHex));
  }
  return bytes;
}

std::optional<utils::Digest>
DigestFromBytes(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (char byte : aBytes) {
    auto value = static_cast<unsigned char>(byte);
    hex += { kDigits[value >> 4], kDigits[value & 15] };
  }
  return utils::Digest::Parse(hex);
}

std::string
MakeChunk(std::uint64_t aSeed, std::size_t aIndex, std::size_t aBytes)
{
  std::string chunk(aBytes, '\0');
  auto state = utils::StableHash(std::to_string(aIndex), aSeed);
  for (std::size_t at = 0; at < aBytes; at += sizeof(std::uint64_t)) {
    auto value = NextRandom(state);
    std::memcpy(
      chunk.data() + at, &value, std::min(sizeof(value), aBytes - at));
  }
  return chunk;
}

Content::Content(const VersionSpec& aSpec)
{
  schema::Manifest manifest;
  manifest.set_model(aSpec.model());
  manifest.set_chunk_bytes(aSpec.chunk_bytes());
  auto addFile = [&](const std::string& aName,
                     const std::string& aAdapter,
                     std::uint64_t aBytes,
                     const auto& aSeedOf) {
    auto* file = manifest.add_files();
    file->set_name(aName);
    file->set_adapter(aAdapter);
    file->set_bytes(aBytes);
    bytes_ += aBytes;
    for (std::uint64_t at = 0; at < aBytes; at += aSpec.chunk_bytes()) {
      auto index = at / aSpec.chunk_bytes();
      auto size = std::min<std::uint64_t>(aSpec.chunk_bytes(), aBytes - at);
      AddChunk({ aSeedOf(index), index, size }, *file, chunks_);
    }
  };
  auto count = aSpec.bytes() / std::max(aSpec.chunk_bytes(), 1U);
  auto shared = count * aSpec.shared_percent() / 100;
  addFile("weights", "", aSpec.bytes(), [&](std::uint64_t aIndex) {
    return aIndex < shared ? aSpec.base_seed() : aSpec.seed();
  });
  for (const auto& adapter : aSpec.adapters()) {
    addFile(adapter.name(),
            adapter.name(),
            adapter.bytes(),
            [&](std::uint64_t) { return adapter.seed(); });
  }
  manifest_ = manifest.SerializeAsString();
  version_ = utils::Digest::Of(manifest_);
}

} // namespace waxwingyoke::fakes
