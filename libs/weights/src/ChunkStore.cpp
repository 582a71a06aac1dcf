#include "ChunkStore.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace waxwingyoke::weights {

using utils::ErrorKind;

ChunkStore::ChunkStore(std::uint64_t aMaxBytes)
  : maxBytes_(aMaxBytes)
{
}

void
ChunkStore::AddContent(const std::shared_ptr<const Content>& aContent)
{
  std::scoped_lock lock(mutex_);
  StoredVersion stored{ aContent, ChunkSet(aContent->chunks.size()) };
  for (const auto& [digest, index] : aContent->indexes) {
    if (chunks_.contains(digest)) {
      stored.held.Add(index);
    }
  }
  versions_.try_emplace(aContent->version, std::move(stored));
}

void
ChunkStore::KeepOnly(const std::set<utils::Digest>& aVersions)
{
  std::scoped_lock lock(mutex_);
  std::erase_if(versions_, [&](const auto& aEntry) {
    return !aVersions.contains(aEntry.first);
  });
  std::erase_if(chunks_, [&](const auto& aChunk) {
    bool wanted = std::ranges::any_of(versions_, [&](const auto& aEntry) {
      return aEntry.second.content->indexes.contains(aChunk.first);
    });
    bytes_ -= wanted ? 0 : aChunk.second->size();
    return !wanted;
  });
}

bool
ChunkStore::AddChunk(const utils::Digest& aChunk,
                     std::string aBytes,
                     utils::Error& aReason)
{
  if (utils::Digest::Of(aBytes) != aChunk) {
    aReason.Set(ErrorKind::DigestMismatch, "chunk " + aChunk.ToHex());
    return false;
  }
  std::scoped_lock lock(mutex_);
  if (chunks_.contains(aChunk)) {
    return true;
  }
  if (bytes_ + aBytes.size() > maxBytes_) {
    aReason.Set(ErrorKind::TooLarge, "weights.memory_bytes is reached");
    return false;
  }
  bytes_ += aBytes.size();
  chunks_[aChunk] = std::make_shared<const std::string>(std::move(aBytes));
  for (auto& [version, stored] : versions_) {
    if (auto index = stored.content->FindIndex(aChunk)) {
      stored.held.Add(*index);
    }
  }
  return true;
}

ChunkStore::Bytes
ChunkStore::FindChunk(const utils::Digest& aChunk) const
{
  std::scoped_lock lock(mutex_);
  auto found = chunks_.find(aChunk);
  return found == chunks_.end() ? nullptr : found->second;
}

ChunkStore::Bytes
ChunkStore::FindChunkOfCompleteVersion(const utils::Digest& aChunk) const
{
  std::scoped_lock lock(mutex_);
  bool complete = std::ranges::any_of(versions_, [&](const auto& aEntry) {
    const auto& stored = aEntry.second;
    return stored.held.IsFull() && stored.content->indexes.contains(aChunk);
  });
  auto found = chunks_.find(aChunk);
  return complete && found != chunks_.end() ? found->second : nullptr;
}

std::shared_ptr<const Content>
ChunkStore::FindContent(const utils::Digest& aVersion) const
{
  std::scoped_lock lock(mutex_);
  auto found = versions_.find(aVersion);
  return found == versions_.end() ? nullptr : found->second.content;
}

std::optional<ChunkSet>
ChunkStore::FindHeldChunks(const utils::Digest& aVersion) const
{
  std::scoped_lock lock(mutex_);
  auto found = versions_.find(aVersion);
  return found == versions_.end() ? std::nullopt
                                  : std::optional(found->second.held);
}

bool
ChunkStore::IsComplete(const utils::Digest& aVersion) const
{
  auto held = FindHeldChunks(aVersion);
  return held && held->IsFull();
}

std::uint64_t
ChunkStore::GetBytes() const
{
  std::scoped_lock lock(mutex_);
  return bytes_;
}

} // namespace waxwingyoke::weights
