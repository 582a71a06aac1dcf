#include "FetchFailover.h"

#include <algorithm>
#include <utility>

#include <utils/Hash.h>

namespace waxwingyoke::weights {

std::size_t
CountExtents(std::size_t aChunks)
{
  return std::min(aChunks, kMaxExtents);
}

std::size_t
GetExtent(std::size_t aChunk, std::size_t aChunks)
{
  return aChunk * CountExtents(aChunks) / aChunks;
}

std::vector<std::string>
RankFetchers(const std::string& aVersion,
             std::size_t aExtent,
             std::vector<std::string> aVms)
{
  return utils::RankMembers(aVersion + "/" + std::to_string(aExtent),
                            std::move(aVms));
}

bool
IsFailoverDue(const std::vector<std::string>& aRanks,
              const std::string& aVm,
              const PeerRegistry& aPeers,
              utils::Millis aRankTimeout,
              utils::Millis aNow)
{
  auto own = std::ranges::find(aRanks, aVm);
  auto rank = own - aRanks.begin();
  return std::all_of(aRanks.begin(), own, [&](const std::string& aLower) {
    const auto* peer = aPeers.Find(aLower);
    return peer == nullptr ||
           aNow - peer->lastProgressAt >= aRankTimeout * rank;
  });
}

} // namespace waxwingyoke::weights
