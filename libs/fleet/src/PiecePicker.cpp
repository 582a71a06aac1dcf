#include "PiecePicker.h"

#include <algorithm>

#include <utils/Hash.h>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Delay between two ranks. A piece takes 30 ms from the origin and 40 ms on a
// side's link, so the side before had the time of a few dozen pieces.
constexpr Millis kRemoteRankDelay(900);
constexpr Millis kOriginRankDelay(1400);
// Added to the rank of sides outside the origin's region.
constexpr std::int64_t kRemoteRankPenalty = 2;
// Other sides announce their pieces to a side that has just started. Until
// these announcements arrive, pieces of an older version are not requested from
// the origin, as other sides may have them.
constexpr Millis kAnnouncementWait(300);
// Downloads at a time from one source: more from a side would delay the live
// answers on its link, and the origin accepts few connections.
constexpr int kMaxDownloadsPerSource = 1;
// Sides of a region that request a list from the origin at the same time.
constexpr std::int64_t kConcurrentListRequests = 2;
// A list is received and announced to other sides within this time.
constexpr Millis kListRankDelay(300);

// Stands for the origin where a source is given by its VM's name.
const std::string kOrigin;

bool
Has(const PieceHolder& aSide, std::uint32_t aPiece)
{
  return aPiece < aSide.pieces.size() && aSide.pieces[aPiece];
}

bool
HasFreeSlot(const PickQuery& aQuery, const std::string& aSource)
{
  auto row = aQuery.activeDownloads.find(aSource);
  return row == aQuery.activeDownloads.end() ||
         row->second < kMaxDownloadsPerSource;
}

bool
CanRequestFrom(const PickQuery& aQuery, const PieceHolder& aSide)
{
  return !aSide.isBusy && HasFreeSlot(aQuery, aSide.vm);
}

std::int64_t
FindRank(const std::string& aOwnVm,
         const std::vector<std::string>& aVms,
         std::uint32_t aPiece)
{
  auto ranked = utils::RankMembers(std::to_string(aPiece), aVms);
  return std::ranges::find(ranked, aOwnVm) - ranked.begin();
}

std::uint64_t
GetPieceOrder(const PickQuery& aQuery, std::uint32_t aPiece)
{
  return utils::MixBits(aQuery.ownHash + aPiece);
}

/**
 * Sort key of a source; the lowest one is used. aPieceOrder makes the order
 * differ by requesting side and piece, which spreads the load.
 */
std::uint64_t
GetSourceOrder(const PieceHolder& aSide, std::uint64_t aPieceOrder)
{
  return utils::MixBits(aSide.hash ^ aPieceOrder);
}

/** The side to fetch a piece from, if any, and how many sides have it. */
struct PieceAvailability
{
  const PieceHolder* source = nullptr;
  std::size_t holderCount = 0;
};

PieceAvailability
FindAvailability(const PickQuery& aQuery,
                 std::uint32_t aPiece,
                 bool aLocalRegion)
{
  PieceAvailability found;
  auto order = GetPieceOrder(aQuery, aPiece);
  for (const auto& side : aQuery.sides) {
    if (side.isInLocalRegion != aLocalRegion || !Has(side, aPiece)) {
      continue;
    }
    ++found.holderCount;
    if (CanRequestFrom(aQuery, side) &&
        (found.source == nullptr ||
         GetSourceOrder(side, order) < GetSourceOrder(*found.source, order))) {
      found.source = &side;
    }
  }
  return found;
}

std::optional<PieceChoice>
PickFromLocalRegion(const PickQuery& aQuery)
{
  std::optional<PieceChoice> best;
  std::size_t fewestHolders = 0;
  for (auto piece : aQuery.missing) {
    auto availability = FindAvailability(aQuery, piece, true);
    bool isRarer =
      !best || availability.holderCount < fewestHolders ||
      (availability.holderCount == fewestHolders &&
       GetPieceOrder(aQuery, piece) < GetPieceOrder(aQuery, best->piece));
    if (availability.source != nullptr && isRarer) {
      best = PieceChoice{ piece, availability.source->vm };
      fewestHolders = availability.holderCount;
    }
  }
  return best;
}

std::optional<PieceChoice>
PickFromRemoteRegion(const PickQuery& aQuery)
{
  for (auto piece : aQuery.missing) {
    if (IsHeld(aQuery, piece, true) ||
        aQuery.remoteElapsed[piece] <
          kRemoteRankDelay * aQuery.ranks[piece].region) {
      continue;
    }
    const auto* source = FindAvailability(aQuery, piece, false).source;
    if (source != nullptr) {
      return PieceChoice{ piece, source->vm };
    }
  }
  return std::nullopt;
}

std::optional<PieceChoice>
PickFromOrigin(const PickQuery& aQuery)
{
  bool isAwaitingAnnouncements =
    !aQuery.isNew && aQuery.elapsed < kAnnouncementWait;
  if (!aQuery.originUsable || isAwaitingAnnouncements ||
      !HasFreeSlot(aQuery, kOrigin)) {
    return std::nullopt;
  }
  auto found = std::ranges::find_if(aQuery.missing, [&](std::uint32_t aPiece) {
    return !IsHeld(aQuery, aPiece, true) && !IsHeld(aQuery, aPiece, false) &&
           (aQuery.probesOrigin ||
            aQuery.originElapsed >=
              kOriginRankDelay * aQuery.ranks[aPiece].origin);
  });
  return found == aQuery.missing.end()
           ? std::nullopt
           : std::optional(PieceChoice{ *found, kOrigin });
}

} // namespace

bool
IsHeld(const PickQuery& aQuery, std::uint32_t aPiece, bool aLocalRegion)
{
  return std::ranges::any_of(aQuery.sides, [&](const PieceHolder& aSide) {
    return aSide.isInLocalRegion == aLocalRegion && Has(aSide, aPiece);
  });
}

std::vector<PieceRank>
RankPieces(const PickQuery& aQuery, std::uint32_t aPieces)
{
  std::vector<std::string> localVms{ aQuery.ownVm };
  std::vector<std::string> originRegionVms{ aQuery.ownVm };
  for (const auto& side : aQuery.sides) {
    if (side.isInLocalRegion) {
      localVms.push_back(side.vm);
    }
    if (side.isInOriginRegion) {
      originRegionVms.push_back(side.vm);
    }
  }
  // Sides in the origin's region go first: their downloads use no link between
  // regions.
  bool isPenalised = !aQuery.isInOriginRegion && originRegionVms.size() > 1;
  std::vector<PieceRank> ranks(aPieces);
  for (std::uint32_t piece = 0; piece < aPieces; ++piece) {
    ranks[piece].region = FindRank(aQuery.ownVm, localVms, piece);
    ranks[piece].origin = FindRank(aQuery.ownVm, originRegionVms, piece) +
                          (isPenalised ? kRemoteRankPenalty : 0);
  }
  return ranks;
}

bool
IsOriginProber(const PickQuery& aQuery, std::uint64_t aVersion)
{
  bool isOriginRegionStaffed =
    aQuery.isInOriginRegion ||
    std::ranges::any_of(aQuery.sides, &PieceHolder::isInOriginRegion);
  if (isOriginRegionStaffed && !aQuery.isInOriginRegion) {
    return false;
  }
  auto ownOrder = utils::MixBits(aQuery.ownHash + aVersion);
  return std::ranges::none_of(aQuery.sides, [&](const PieceHolder& aSide) {
    return aSide.isInLocalRegion &&
           utils::MixBits(aSide.hash + aVersion) < ownOrder;
  });
}

// Ranks only the sides of one region: other regions receive announcements late,
// and a list is small. The order differs by version.
Millis
GetListDelay(const PickQuery& aQuery, std::uint64_t aVersion)
{
  auto precedesOwn = [&](const PieceHolder& aSide) {
    return aSide.isInLocalRegion && utils::MixBits(aSide.hash + aVersion) <
                                      utils::MixBits(aQuery.ownHash + aVersion);
  };
  auto rank = std::ranges::count_if(aQuery.sides, precedesOwn);
  auto announcementDelay = aQuery.isNew ? Millis(0) : kAnnouncementWait;
  return announcementDelay + kListRankDelay * (rank / kConcurrentListRequests);
}

std::optional<PieceChoice>
PickPiece(const PickQuery& aQuery)
{
  // Pieces that no other side of the region fetches come first, as the others
  // wait for them.
  auto choice = PickFromOrigin(aQuery);
  if (!choice) {
    choice = PickFromRemoteRegion(aQuery);
  }
  return choice ? choice : PickFromLocalRegion(aQuery);
}

} // namespace waxwingyoke::fleet
