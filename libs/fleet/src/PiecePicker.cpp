#include "PiecePicker.h"

#include <algorithm>

#include <utils/Hash.h>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// A piece takes 30 ms from the origin and 40 ms on a side's link; the next in
// rank brings a piece that the one before has not brought after a few dozen.
constexpr Millis kFarRankDelay(900);
constexpr Millis kOriginRankDelay(1400);
// Ranks that a side of another region stands behind those of the origin's.
constexpr std::int64_t kBehind = 2;
// Other sides answer a greeting with what they have; until then it is not known
// that none has a piece of a version that is not new.
constexpr Millis kHearFirst(300);
// From one side at a time, so that its link does not hold up live answers;
// from the origin, as it takes few connections.
constexpr int kMaxFromOne = 1;
// Sides of a region that ask the origin for a list at the same time.
constexpr std::int64_t kListAskers = 2;
// A list is there, and told to other sides, within this time.
constexpr Millis kListTurnStep(300);

// The origin among the sources of pieces.
const std::string kOrigin;

bool
Has(const PieceHolder& aSide, std::uint32_t aPiece)
{
  return aPiece < aSide.pieces.size() && aSide.pieces[aPiece];
}

bool
HasTurnAt(const PickQuery& aQuery, const std::string& aSource)
{
  auto row = aQuery.running.find(aSource);
  return row == aQuery.running.end() || row->second < kMaxFromOne;
}

bool
CanAsk(const PickQuery& aQuery, const PieceHolder& aSide)
{
  return !aSide.isBusy && HasTurnAt(aQuery, aSide.vm);
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
OwnOrder(const PickQuery& aQuery, std::uint32_t aPiece)
{
  return utils::MixBits(aQuery.ownHash + aPiece);
}

/** A side's turn to be asked; each asker and piece has another order. */
std::uint64_t
GetTurn(const PieceHolder& aSide, std::uint64_t aOrder)
{
  return utils::MixBits(aSide.hash ^ aOrder);
}

/** The side to ask for a piece, and how many have it. */
struct Holders
{
  const PieceHolder* source = nullptr;
  std::size_t count = 0;
};

Holders
FindHolders(const PickQuery& aQuery, std::uint32_t aPiece, bool aNear)
{
  Holders found;
  auto order = OwnOrder(aQuery, aPiece);
  for (const auto& side : aQuery.sides) {
    if (side.isNear != aNear || !Has(side, aPiece)) {
      continue;
    }
    ++found.count;
    if (CanAsk(aQuery, side) &&
        (found.source == nullptr ||
         GetTurn(side, order) < GetTurn(*found.source, order))) {
      found.source = &side;
    }
  }
  return found;
}

std::optional<PieceChoice>
PickNear(const PickQuery& aQuery)
{
  std::optional<PieceChoice> best;
  std::size_t fewest = 0;
  for (auto piece : aQuery.missing) {
    auto holders = FindHolders(aQuery, piece, true);
    bool rarer = !best || holders.count < fewest ||
                 (holders.count == fewest &&
                  OwnOrder(aQuery, piece) < OwnOrder(aQuery, best->piece));
    if (holders.source != nullptr && rarer) {
      best = PieceChoice{ piece, holders.source->vm };
      fewest = holders.count;
    }
  }
  return best;
}

std::optional<PieceChoice>
PickFar(const PickQuery& aQuery)
{
  for (auto piece : aQuery.missing) {
    if (IsHeld(aQuery, piece, true) ||
        aQuery.farElapsed[piece] < kFarRankDelay * aQuery.ranks[piece].region) {
      continue;
    }
    const auto* source = FindHolders(aQuery, piece, false).source;
    if (source != nullptr) {
      return PieceChoice{ piece, source->vm };
    }
  }
  return std::nullopt;
}

std::optional<PieceChoice>
PickFromOrigin(const PickQuery& aQuery)
{
  bool hearing = !aQuery.isNew && aQuery.elapsed < kHearFirst;
  if (!aQuery.originUsable || hearing || !HasTurnAt(aQuery, kOrigin)) {
    return std::nullopt;
  }
  auto found = std::ranges::find_if(aQuery.missing, [&](std::uint32_t aPiece) {
    return !IsHeld(aQuery, aPiece, true) && !IsHeld(aQuery, aPiece, false) &&
           aQuery.originElapsed >=
             kOriginRankDelay * aQuery.ranks[aPiece].origin;
  });
  return found == aQuery.missing.end()
           ? std::nullopt
           : std::optional(PieceChoice{ *found, kOrigin });
}

} // namespace

bool
IsHeld(const PickQuery& aQuery, std::uint32_t aPiece, bool aNear)
{
  return std::ranges::any_of(aQuery.sides, [&](const PieceHolder& aSide) {
    return aSide.isNear == aNear && Has(aSide, aPiece);
  });
}

std::vector<PieceRank>
RankPieces(const PickQuery& aQuery, std::uint32_t aPieces)
{
  std::vector<std::string> ofRegion{ aQuery.ownVm };
  std::vector<std::string> ofOrigin{ aQuery.ownVm };
  for (const auto& side : aQuery.sides) {
    if (side.isNear) {
      ofRegion.push_back(side.vm);
    }
    if (side.isNearOrigin) {
      ofOrigin.push_back(side.vm);
    }
  }
  // Sides in the origin's region go first: their bytes cross no border.
  bool isBehind = !aQuery.isNearOrigin && ofOrigin.size() > 1;
  std::vector<PieceRank> ranks(aPieces);
  for (std::uint32_t piece = 0; piece < aPieces; ++piece) {
    ranks[piece].region = FindRank(aQuery.ownVm, ofRegion, piece);
    ranks[piece].origin =
      FindRank(aQuery.ownVm, ofOrigin, piece) + (isBehind ? kBehind : 0);
  }
  return ranks;
}

// Each region by itself, as other regions hear of a list late, and it is small;
// each version in another order.
Millis
GetListTurn(const PickQuery& aQuery, std::uint64_t aVersion)
{
  auto goesBefore = [&](const PieceHolder& aSide) {
    return aSide.isNear && utils::MixBits(aSide.hash + aVersion) <
                             utils::MixBits(aQuery.ownHash + aVersion);
  };
  auto rank = std::ranges::count_if(aQuery.sides, goesBefore);
  auto hearing = aQuery.isNew ? Millis(0) : kHearFirst;
  return hearing + kListTurnStep * (rank / kListAskers);
}

std::optional<PieceChoice>
PickPiece(const PickQuery& aQuery)
{
  // What nobody else brings comes first: others wait for it.
  auto choice = PickFromOrigin(aQuery);
  if (!choice) {
    choice = PickFar(aQuery);
  }
  return choice ? choice : PickNear(aQuery);
}

} // namespace waxwingyoke::fleet
