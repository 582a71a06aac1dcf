#include "Picker.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <vector>

#include <utils/Hash.h>

namespace waxwingyoke::weights {

namespace {

constexpr int kMaxFetchesPerPeer = 1;
// A peer with this many consecutive failures may have crashed although it is
// still listed, so it does not count as a holder.
constexpr int kMaxFailures = 2;
// Upload counts are compared in steps of this size, and the hash breaks ties:
// comparing exact counts would make every side choose the same peer.
constexpr std::uint64_t kUploadRankStep = 2;

std::uint64_t
MixHash(const PickInput& aInput, std::string_view aWhat, std::size_t aIndex)
{
  return utils::StableHash(aInput.vm, utils::StableHash(aWhat, aIndex));
}

bool
IsUsable(const PickInput& aInput, const Peer& aPeer)
{
  return aPeer.activeFetches < kMaxFetchesPerPeer &&
         aPeer.avoidUntil <= aInput.now;
}

// The number of chunks by which a peer's uploads may exceed the chunks it holds
// before the other holders are preferred.
constexpr std::uint64_t kMaxUploadExcess = 3;

using PeerPtr = const Peer*;

std::vector<PeerPtr>
ListUsable(const PickInput& aInput, bool aLocalRegion)
{
  std::vector<PeerPtr> candidates;
  for (const auto& [vm, peer] : aInput.peers.GetPeers()) {
    bool isLocal = peer.region == aInput.region;
    if (isLocal == aLocalRegion && IsUsable(aInput, peer)) {
      candidates.push_back(&peer);
    }
  }
  return candidates;
}

std::optional<std::string>
PickHolder(const PickInput& aInput,
           const std::vector<PeerPtr>& aCandidates,
           std::size_t aChunk)
{
  auto rank = [&](PeerPtr aCandidate) {
    return std::tuple(!aCandidate->held.Has(aChunk),
                      aCandidate->uploadedChunks / kUploadRankStep,
                      MixHash(aInput, aCandidate->vm, aChunk));
  };
  auto best = std::ranges::min_element(aCandidates, {}, rank);
  bool holds = best != aCandidates.end() && (*best)->held.Has(aChunk);
  return holds ? std::optional((*best)->vm) : std::nullopt;
}

} // namespace

std::size_t
CountHolders(const PickInput& aInput, std::size_t aChunk)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aInput.peers.GetPeers(), [&](const auto& aEntry) {
      const auto& peer = aEntry.second;
      return peer.region == aInput.region && peer.held.Has(aChunk) &&
             peer.failures < kMaxFailures;
    }));
}

namespace {

std::optional<Pick>
PickFrom(const PickInput& aInput, const std::vector<PeerPtr>& aCandidates)
{
  std::optional<std::size_t> best;
  std::tuple bestRank(std::numeric_limits<std::size_t>::max(),
                      std::numeric_limits<std::uint64_t>::max());
  for (std::size_t chunk = 0; chunk < aInput.held.GetSize(); ++chunk) {
    bool wanted = !aInput.held.Has(chunk) && !aInput.inFlight.contains(chunk) &&
                  std::ranges::any_of(aCandidates, [&](PeerPtr aCandidate) {
                    return aCandidate->held.Has(chunk);
                  });
    if (!wanted) {
      continue;
    }
    std::tuple rank(CountHolders(aInput, chunk),
                    MixHash(aInput, "chunk", chunk));
    if (rank < bestRank) {
      best = chunk;
      bestRank = rank;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  auto holder = PickHolder(aInput, aCandidates, *best);
  return Pick{ *best, *holder };
}

} // namespace

std::optional<Pick>
PickFromRegion(const PickInput& aInput)
{
  auto candidates = ListUsable(aInput, true);
  // A peer that uploads more than it downloaded would carry the burst for the
  // others, so such peers are used only where no other has a missing chunk.
  std::vector<PeerPtr> balanced;
  std::ranges::copy_if(
    candidates, std::back_inserter(balanced), [](PeerPtr aCandidate) {
      return aCandidate->uploadedChunks <=
             aCandidate->held.GetCount() + kMaxUploadExcess;
    });
  auto pick = PickFrom(aInput, balanced);
  return pick ? pick : PickFrom(aInput, candidates);
}

std::optional<std::string>
PickRemotePeer(const PickInput& aInput, std::size_t aChunk)
{
  return PickHolder(aInput, ListUsable(aInput, false), aChunk);
}

} // namespace waxwingyoke::weights
