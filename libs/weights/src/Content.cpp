#include "Content.h"

#include <utility>

#include <schema/weights.pb.h>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

std::string
ToHex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kHalfByte = 4;
  constexpr unsigned kLowHalf = 15;
  std::string hex;
  for (char byte : aBytes) {
    auto value = static_cast<unsigned char>(byte);
    hex += kDigits[value >> kHalfByte];
    hex += kDigits[value & kLowHalf];
  }
  return hex;
}

bool
AddChunk(const schema::Chunk& aChunk, Content& aContent)
{
  auto digest = utils::Digest::Parse(ToHex(aChunk.digest()));
  if (!digest || aChunk.bytes() == 0) {
    return false;
  }
  auto index = aContent.chunks.size();
  if (aContent.indexes.try_emplace(*digest, index).second) {
    aContent.chunks.push_back({ *digest, aChunk.bytes() });
    aContent.bytes += aChunk.bytes();
  }
  return true;
}

} // namespace

std::shared_ptr<const Content>
Content::Read(const utils::Digest& aVersion,
              std::string aManifest,
              utils::Error& aReason)
{
  if (utils::Digest::Of(aManifest) != aVersion) {
    aReason.Set(ErrorKind::DigestMismatch,
                "the manifest does not match the digest " + aVersion.ToHex());
    return nullptr;
  }
  schema::Manifest manifest;
  bool valid = manifest.ParseFromString(aManifest);
  auto content = std::make_shared<Content>();
  content->version = aVersion;
  content->manifest = std::move(aManifest);
  for (const auto& file : manifest.files()) {
    for (const auto& chunk : file.chunks()) {
      valid = valid && AddChunk(chunk, *content);
    }
  }
  if (!valid) {
    aReason.Set(ErrorKind::DigestMismatch,
                "the manifest " + aVersion.ToHex() + " can't be parsed");
    return nullptr;
  }
  return content;
}

std::optional<std::size_t>
Content::FindIndex(const utils::Digest& aChunk) const
{
  auto found = indexes.find(aChunk);
  return found == indexes.end() ? std::nullopt : std::optional(found->second);
}

} // namespace waxwingyoke::weights
