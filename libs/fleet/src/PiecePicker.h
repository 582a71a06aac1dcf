#ifndef waxwingyoke_fleet_PiecePicker_h
#define waxwingyoke_fleet_PiecePicker_h

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::fleet {

/** Another side and the pieces that it said it has. */
struct PieceHolder
{
  std::string vm;
  /** Stable hash of the name. */
  std::uint64_t hash = 0;
  /** In this side's region. */
  bool isNear = false;
  /** In the origin's region. */
  bool isNearOrigin = false;
  /** Bit i: it has piece i of the wanted version. */
  std::vector<bool> pieces;
  /** It had no room for an upload a moment ago. */
  bool isBusy = false;
};

/** This side's place among those that may bring a piece from afar. */
struct PieceRank
{
  /** Into its region. */
  std::int64_t region = 0;
  /** From the origin. */
  std::int64_t origin = 0;
};

/** What the choice of the next piece depends on. */
struct PickQuery
{
  std::string ownVm;
  /** Stable hash of the name. */
  std::uint64_t ownHash = 0;
  bool isNearOrigin = false;
  /** Neither here nor on their way. */
  std::set<std::uint32_t> missing;
  std::vector<PieceHolder> sides;
  /** By piece; from RankPieces. */
  std::vector<PieceRank> ranks;
  /** Downloads that run, by side. */
  std::map<std::string, int> running;
  /** Since this side began to stage the version. */
  utils::Millis elapsed;
  /** By piece: since another region was first known to have it. */
  std::vector<utils::Millis> farElapsed;
  /** The same, but counted anew from each failure of the origin. */
  utils::Millis originElapsed;
  /** The version was named just now, so that nobody had it. */
  bool isNew = false;
  bool originUsable = true;
};

struct PieceChoice
{
  std::uint32_t piece = 0;
  /** The side to ask; empty: the origin. */
  std::string vm;
};

/** Whether another side has a piece, in this side's region or in others. */
bool
IsHeld(const PickQuery& aQuery, std::uint32_t aPiece, bool aNear);

/**
 * This side's ranks for that many pieces among aQuery's sides. They change
 * only as sides come and go, and are dear to work out for each choice.
 */
std::vector<PieceRank>
RankPieces(const PickQuery& aQuery, std::uint32_t aPieces);

/**
 * When this side asks the origin for a version's list of pieces, counted from
 * when it wanted it. A few ask, the others get it from them.
 */
utils::Millis
GetListTurn(const PickQuery& aQuery, std::uint64_t aVersion);

/**
 * The next piece and where it comes from; empty if there is nothing to do
 * but wait. Within a region the rarest piece comes first, from any side that
 * has it. Into a region, and from the origin, one side brings each piece;
 * others step in, one after the other, where it does not.
 */
std::optional<PieceChoice>
PickPiece(const PickQuery& aQuery);

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_PiecePicker_h
