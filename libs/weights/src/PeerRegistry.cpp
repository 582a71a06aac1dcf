#include "PeerRegistry.h"

#include <algorithm>

namespace waxwingyoke::weights {

namespace {

constexpr utils::Millis kBusyBackoff(60);
constexpr utils::Millis kMissingBackoff(200);
constexpr utils::Millis kFailedBackoff(1000);
constexpr utils::Millis kCorruptBackoff(5000);
// Each further failure doubles the backoff, up to this many times.
constexpr int kMaxDoublings = 4;

utils::Millis
GetBackoff(PeerFault aFault, int aFailures)
{
  auto factor = std::int64_t(1) << std::min(aFailures, kMaxDoublings);
  switch (aFault) {
    case PeerFault::Busy:
      return kBusyBackoff;
    case PeerFault::Missing:
      return kMissingBackoff;
    case PeerFault::Failed:
      return kFailedBackoff * factor;
    case PeerFault::Corrupt:
      return kCorruptBackoff * factor;
  }
  return kFailedBackoff;
}

} // namespace

void
PeerRegistry::AddOrUpdate(const std::string& aVm,
                          const std::string& aRegion,
                          const net::Endpoint& aEndpoint,
                          utils::Millis aNow)
{
  auto [entry, isNew] = peers_.try_emplace(aVm);
  auto& peer = entry->second;
  if (isNew) {
    peer.vm = aVm;
    peer.held = ChunkSet(chunkCount_);
    peer.lastProgressAt = aNow;
  }
  peer.region = aRegion;
  peer.endpoint = aEndpoint;
}

void
PeerRegistry::KeepOnly(const std::vector<std::string>& aVms)
{
  std::erase_if(peers_, [&](const auto& aEntry) {
    return std::ranges::find(aVms, aEntry.first) == aVms.end();
  });
}

void
PeerRegistry::SetChunkCount(std::size_t aCount)
{
  chunkCount_ = aCount;
  for (auto& [vm, peer] : peers_) {
    peer.held = ChunkSet(aCount);
  }
}

bool
PeerRegistry::Merge(const schema::PeerOffer& aOffer, utils::Millis aNow)
{
  auto* peer = FindMutable(aOffer.vm());
  if (peer == nullptr || aOffer.incarnation().empty()) {
    return false;
  }
  // A new incarnation of the process starts without chunks.
  if (peer->incarnation != aOffer.incarnation()) {
    peer->incarnation = aOffer.incarnation();
    peer->held = ChunkSet(chunkCount_);
    peer->uploadedChunks = 0;
  }
  peer->uploadedChunks = std::max(peer->uploadedChunks, aOffer.given_chunks());
  bool grown =
    peer->held.Merge(ChunkSet::FromBytes(aOffer.held(), chunkCount_));
  if (grown) {
    peer->lastProgressAt = aNow;
  }
  return grown;
}

void
PeerRegistry::MarkComplete(const std::string& aVm, utils::Millis aNow)
{
  auto* peer = FindMutable(aVm);
  if (peer == nullptr || peer->held.IsFull()) {
    return;
  }
  const std::string everything((chunkCount_ + 7) / 8, '\xff');
  peer->held = ChunkSet::FromBytes(everything, chunkCount_);
  peer->lastProgressAt = aNow;
}

void
PeerRegistry::BeginFetch(const std::string& aVm)
{
  if (auto* peer = FindMutable(aVm)) {
    ++peer->activeFetches;
  }
}

void
PeerRegistry::EndFetch(const std::string& aVm)
{
  if (auto* peer = FindMutable(aVm)) {
    peer->activeFetches = std::max(0, peer->activeFetches - 1);
  }
}

void
PeerRegistry::RecordChunk(const std::string& aVm)
{
  if (auto* peer = FindMutable(aVm)) {
    peer->failures = 0;
    ++peer->uploadedChunks;
  }
}

void
PeerRegistry::RecordFault(const std::string& aVm,
                          PeerFault aFault,
                          utils::Millis aNow)
{
  auto* peer = FindMutable(aVm);
  if (peer == nullptr) {
    return;
  }
  peer->avoidUntil = aNow + GetBackoff(aFault, peer->failures);
  if (aFault == PeerFault::Missing) {
    peer->held = ChunkSet(chunkCount_);
  }
  if (aFault == PeerFault::Failed || aFault == PeerFault::Corrupt) {
    ++peer->failures;
  }
}

const Peer*
PeerRegistry::Find(const std::string& aVm) const
{
  auto found = peers_.find(aVm);
  return found == peers_.end() ? nullptr : &found->second;
}

Peer*
PeerRegistry::FindMutable(const std::string& aVm)
{
  auto found = peers_.find(aVm);
  return found == peers_.end() ? nullptr : &found->second;
}

} // namespace waxwingyoke::weights
