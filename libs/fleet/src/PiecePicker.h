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

/** Another side and the pieces that its last notice announced. */
struct PieceHolder
{
  std::string vm;
  /** Stable hash of vm. */
  std::uint64_t hash = 0;
  bool isInLocalRegion = false;
  bool isInOriginRegion = false;
  /** Element i: the side has piece i of the wanted version. */
  std::vector<bool> pieces;
  /** A recent request to it failed or found no free upload slot. */
  bool isBusy = false;
};

/**
 * This side's position in the order in which sides fetch one piece. Rank 0
 * fetches at once, the next ones only if the piece stays missing.
 */
struct PieceRank
{
  /** For fetching from another region into this one. */
  std::int64_t region = 0;
  /** For fetching from the origin. */
  std::int64_t origin = 0;
};

/** Input of the choice of the next piece. */
struct PickQuery
{
  std::string ownVm;
  /** Stable hash of ownVm. */
  std::uint64_t ownHash = 0;
  bool isInOriginRegion = false;
  /** Pieces that are neither staged nor being downloaded. */
  std::set<std::uint32_t> missing;
  std::vector<PieceHolder> sides;
  /** By piece; see RankPieces. */
  std::vector<PieceRank> ranks;
  /** Number of running downloads by source; the origin's key is empty. */
  std::map<std::string, int> activeDownloads;
  /** Time since this side began to fetch the version. */
  utils::Millis elapsed;
  /** By piece: time since a side of another region first announced it. */
  std::vector<utils::Millis> remoteElapsed;
  /** Time since the later of the fetch's start and the origin's last failure.
   */
  utils::Millis originElapsed;
  /** The version was named recently, so no side had it at that time. */
  bool isNew = false;
  bool originUsable = true;
  /** This side finds out whether the origin has recovered, with any piece. */
  bool probesOrigin = false;
};

struct PieceChoice
{
  std::uint32_t piece = 0;
  /** The side to fetch from; empty: the origin. */
  std::string vm;
};

/**
 * Whether another side announced the piece. Considers only sides of this
 * side's region if aLocalRegion is set, else only those of other regions.
 */
bool
IsHeld(const PickQuery& aQuery, std::uint32_t aPiece, bool aLocalRegion);

/**
 * This side's ranks for pieces 0 to aPieces - 1 among aQuery's sides. They
 * change only with the set of sides and are expensive to compute, so callers
 * keep the result between choices.
 */
std::vector<PieceRank>
RankPieces(const PickQuery& aQuery, std::uint32_t aPieces);

/**
 * Whether this side is the one that probes an unavailable origin: one side in
 * the origin's region, or in each region if there is none.
 */
bool
IsOriginProber(const PickQuery& aQuery, std::uint64_t aVersion);

/**
 * How long this side waits before it requests a version's piece list from the
 * origin. A few sides request it; the others get it from them meanwhile.
 */
utils::Millis
GetListDelay(const PickQuery& aQuery, std::uint64_t aVersion);

/**
 * The next piece and its source; empty if no piece can be fetched now. Within
 * a region the rarest piece comes first, from any side that has it. From other
 * regions and from the origin, one side fetches each piece; if it does not
 * provide the piece in time, the others take over one after the other by rank.
 */
std::optional<PieceChoice>
PickPiece(const PickQuery& aQuery);

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_PiecePicker_h
