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
// A holder that failed so often in a row may be dead, though still listed.
constexpr int kMaxFailures = 2;
// Peers whose uploads differ by less are told apart by the hash: a sharper
// choice would send every side to the same peer.
constexpr std::uint64_t kGivenStep = 2;

std::uint64_t
MixHash(const PickInput& aInput, std::string_view aWhat, std::size_t aIndex)
{
  return utils::StableHash(aInput.vm, utils::StableHash(aWhat, aIndex));
}

bool
IsUsable(const PickInput& aInput, const Peer& aPeer)
{
  return aPeer.fetches < kMaxFetchesPerPeer && aPeer.avoidUntil <= aInput.now;
}

// Chunks that a peer may have given beyond those that it holds.
constexpr std::uint64_t kGivenAhead = 3;

using PeerRow = const Peer*;

std::vector<PeerRow>
ListUsable(const PickInput& aInput, bool aOwnRegion)
{
  std::vector<PeerRow> rows;
  for (const auto& [vm, peer] : aInput.peers.GetPeers()) {
    bool own = peer.region == aInput.region;
    if (own == aOwnRegion && IsUsable(aInput, peer)) {
      rows.push_back(&peer);
    }
  }
  return rows;
}

std::optional<std::string>
PickHolder(const PickInput& aInput,
           const std::vector<PeerRow>& aRows,
           std::size_t aChunk)
{
  auto rank = [&](PeerRow aRow) {
    return std::tuple(!aRow->held.Has(aChunk),
                      aRow->given / kGivenStep,
                      MixHash(aInput, aRow->vm, aChunk));
  };
  auto best = std::ranges::min_element(aRows, {}, rank);
  bool holds = best != aRows.end() && (*best)->held.Has(aChunk);
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
PickFrom(const PickInput& aInput, const std::vector<PeerRow>& aRows)
{
  std::optional<std::size_t> best;
  std::tuple bestRank(std::numeric_limits<std::size_t>::max(),
                      std::numeric_limits<std::uint64_t>::max());
  for (std::size_t chunk = 0; chunk < aInput.held.GetSize(); ++chunk) {
    bool wanted = !aInput.held.Has(chunk) && !aInput.running.contains(chunk) &&
                  std::ranges::any_of(
                    aRows, [&](PeerRow aRow) { return aRow->held.Has(chunk); });
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
  auto holder = PickHolder(aInput, aRows, *best);
  return Pick{ *best, *holder };
}

} // namespace

std::optional<Pick>
PickFromRegion(const PickInput& aInput)
{
  auto rows = ListUsable(aInput, true);
  // Whoever gives more than it got would carry the burst for the others.
  std::vector<PeerRow> fair;
  std::ranges::copy_if(rows, std::back_inserter(fair), [](PeerRow aRow) {
    return aRow->given <= aRow->held.GetCount() + kGivenAhead;
  });
  auto pick = PickFrom(aInput, fair);
  return pick ? pick : PickFrom(aInput, rows);
}

std::optional<std::string>
PickRemotePeer(const PickInput& aInput, std::size_t aChunk)
{
  return PickHolder(aInput, ListUsable(aInput, false), aChunk);
}

} // namespace waxwingyoke::weights
