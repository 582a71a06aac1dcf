#include "PeerBook.h"

#include <algorithm>

namespace waxwingyoke::weights {

namespace {

constexpr utils::Millis kBusyPause(60);
constexpr utils::Millis kMissingPause(200);
constexpr utils::Millis kFailedPause(1000);
constexpr utils::Millis kCorruptPause(5000);
// Each further failure doubles the pause, up to this many times.
constexpr int kMaxDoublings = 4;

utils::Millis
GetPause(PeerFault aFault, int aFailures)
{
  auto factor = std::int64_t(1) << std::min(aFailures, kMaxDoublings);
  switch (aFault) {
    case PeerFault::Busy:
      return kBusyPause;
    case PeerFault::Missing:
      return kMissingPause;
    case PeerFault::Failed:
      return kFailedPause * factor;
    case PeerFault::Corrupt:
      return kCorruptPause * factor;
  }
  return kFailedPause;
}

} // namespace

void
PeerBook::See(const std::string& aVm,
              const std::string& aRegion,
              const net::Endpoint& aEndpoint,
              utils::Millis aNow)
{
  auto [entry, fresh] = peers_.try_emplace(aVm);
  auto& peer = entry->second;
  if (fresh) {
    peer.vm = aVm;
    peer.held = ChunkSet(chunkCount_);
    peer.lastGrowth = aNow;
  }
  peer.region = aRegion;
  peer.endpoint = aEndpoint;
}

void
PeerBook::KeepOnly(const std::vector<std::string>& aVms)
{
  std::erase_if(peers_, [&](const auto& aEntry) {
    return std::ranges::find(aVms, aEntry.first) == aVms.end();
  });
}

void
PeerBook::SetChunkCount(std::size_t aCount)
{
  chunkCount_ = aCount;
  for (auto& [vm, peer] : peers_) {
    peer.held = ChunkSet(aCount);
  }
}

bool
PeerBook::Merge(const schema::PeerOffer& aOffer, utils::Millis aNow)
{
  auto* peer = FindMutable(aOffer.vm());
  if (peer == nullptr || aOffer.incarnation().empty()) {
    return false;
  }
  // Another incarnation began with nothing.
  if (peer->incarnation != aOffer.incarnation()) {
    peer->incarnation = aOffer.incarnation();
    peer->held = ChunkSet(chunkCount_);
    peer->given = 0;
  }
  peer->given = std::max(peer->given, aOffer.given_chunks());
  bool grown =
    peer->held.Merge(ChunkSet::FromBytes(aOffer.held(), chunkCount_));
  if (grown) {
    peer->lastGrowth = aNow;
  }
  return grown;
}

void
PeerBook::MarkWhole(const std::string& aVm, utils::Millis aNow)
{
  auto* peer = FindMutable(aVm);
  if (peer == nullptr || peer->held.IsFull()) {
    return;
  }
  const std::string everything((chunkCount_ + 7) / 8, '\xff');
  peer->held = ChunkSet::FromBytes(everything, chunkCount_);
  peer->lastGrowth = aNow;
}

void
PeerBook::BeginFetch(const std::string& aVm)
{
  if (auto* peer = FindMutable(aVm)) {
    ++peer->fetches;
  }
}

void
PeerBook::EndFetch(const std::string& aVm)
{
  if (auto* peer = FindMutable(aVm)) {
    peer->fetches = std::max(0, peer->fetches - 1);
  }
}

void
PeerBook::NoteChunk(const std::string& aVm)
{
  if (auto* peer = FindMutable(aVm)) {
    peer->failures = 0;
    ++peer->given;
  }
}

void
PeerBook::NoteFault(const std::string& aVm,
                    PeerFault aFault,
                    utils::Millis aNow)
{
  auto* peer = FindMutable(aVm);
  if (peer == nullptr) {
    return;
  }
  peer->avoidUntil = aNow + GetPause(aFault, peer->failures);
  if (aFault == PeerFault::Missing) {
    peer->held = ChunkSet(chunkCount_);
  }
  if (aFault == PeerFault::Failed || aFault == PeerFault::Corrupt) {
    ++peer->failures;
  }
}

const Peer*
PeerBook::Find(const std::string& aVm) const
{
  auto found = peers_.find(aVm);
  return found == peers_.end() ? nullptr : &found->second;
}

Peer*
PeerBook::FindMutable(const std::string& aVm)
{
  auto found = peers_.find(aVm);
  return found == peers_.end() ? nullptr : &found->second;
}

} // namespace waxwingyoke::weights
