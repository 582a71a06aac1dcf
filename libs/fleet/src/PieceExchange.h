#ifndef waxwingyoke_fleet_PieceExchange_h
#define waxwingyoke_fleet_PieceExchange_h

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <net/HttpClient.h>
#include <net/Pacer.h>
#include <net/Router.h>
#include <platform/FleetConfig.h>
#include <platform/FleetSettings.h>
#include <telemetry/Logger.h>

#include "OriginHealth.h"
#include "PeerLink.h"
#include "PiecePicker.h"
#include "PieceStore.h"

namespace waxwingyoke::fleet {

/** News of what lies here, for other sides. */
struct PieceChange
{
  bool isAny = false;
  /** Of the origin, so that no other side may have it: all wait for this. */
  bool isFromOrigin = false;
};

/** Where the pieces of one round came from, and when the last of each came. */
struct FetchSources
{
  struct Source
  {
    int pieces = 0;
    /** Since the round began. */
    utils::Millis lastAfter;
  };
  Source origin;
  Source otherRegions;
  Source ownRegion;
};

/** What one round of fetching is for. */
struct FetchOrder
{
  /** Null if no service hands out weights. */
  const platform::ServiceInfo* origin = nullptr;
  /** The version was named just now, so that nobody had it. */
  bool isNew = false;
  /** Whether the version is still wanted. */
  std::function<bool()> isWanted;
};

/**
 * Brings pieces from other sides and from the origin, and hands out what
 * lies here. Sides tell each other what they have by notices.
 */
class PieceExchange
{
public:
  PieceExchange(const platform::FleetSettings& aSettings,
                net::HttpClient& aClient,
                PeerLink& aPeers,
                PieceStore& aStore,
                platform::WeightOrigin& aOrigin);

  void AddRoutes(net::Router& aRouter);

  /** Brings what the store's list lacks; true when nothing is missing. */
  bool FetchMissing(const FetchOrder& aOrder);

  /**
   * The list of a version, from a side that has it or from the origin; empty
   * without a reason while it is not yet this side's turn to ask the origin.
   */
  std::optional<platform::PieceList> GetList(const FetchOrder& aOrder,
                                             const std::string& aModel,
                                             std::uint64_t aVersion,
                                             utils::Error& aReason);

  /** What another side said that it has. */
  void TakeNotice(const Peer& aFrom, const schema::SideNotice& aNotice);

  /** Says what lies here. */
  void FillNotice(schema::SideNotice& aNotice) const;

  /** Of the last round of fetching. */
  const FetchSources& GetSources() const { return sources_; }

  bool IsOriginAnswering() const { return originHealth_.IsAnswering(); }

  /** Whether all that is missing here lies at other sides. */
  bool IsRestHeld() const;

  /** Other sides are to hear soon what lies here. */
  void NoteChange() { change_.isAny = true; }

  /** What changed here since the last call. */
  PieceChange TakeChange() { return std::exchange(change_, {}); }

private:
  /** What one side said last. */
  struct Announcement
  {
    Peer peer;
    std::string model;
    std::uint64_t version = 0;
    std::vector<bool> pieces;
    utils::Millis busyUntil;
  };

  bool IsNewToAll(const std::vector<bool>& aPieces) const;
  bool IsAnnounced(std::uint32_t aPiece) const;
  PickQuery MakeQuery(const FetchOrder& aOrder);
  void AddFarTimes(PickQuery& aQuery);
  void AddSides(const FetchOrder& aOrder, PickQuery& aQuery) const;
  bool IsListTurn(const FetchOrder& aOrder, std::uint64_t aVersion);
  void FetchLoop(const FetchOrder& aOrder);
  std::optional<std::string> FetchFromOrigin(const PieceChoice& aChoice,
                                             const FetchOrder& aOrder,
                                             utils::Error& aReason);
  void NoteSource(const PieceChoice& aChoice);
  bool FetchOne(const PieceChoice& aChoice, const FetchOrder& aOrder);
  std::optional<std::string> FetchFrom(const PieceChoice& aChoice,
                                       const FetchOrder& aOrder,
                                       utils::Error& aReason);
  void ServePiece(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter);
  bool SendPaced(const std::string& aBytes,
                 bool aIsFar,
                 net::ResponseWriter& aWriter);
  void ServeList(const net::HttpRequest& aRequest,
                 net::ResponseWriter& aWriter);
  std::optional<platform::PieceList> AskPeerForList(const Peer& aPeer,
                                                    const std::string& aModel,
                                                    std::uint64_t aVersion);

  const platform::FleetSettings& settings_;
  net::HttpClient& client_;
  PeerLink& peers_;
  PieceStore& store_;
  platform::WeightOrigin& origin_;
  utils::Clock clock_;
  std::map<std::string, Announcement> announcements_;
  /** Of the sides and the version that they were worked out for. */
  std::vector<PieceRank> ranks_;
  std::uint64_t rankedSides_ = 0;
  /** By piece: when another region was first known to have it. */
  std::vector<std::optional<utils::Millis>> farSince_;
  /** The version whose list is wanted, and since when. */
  std::uint64_t listVersion_ = 0;
  utils::Millis listWantedAt_;
  std::set<std::uint32_t> onTheWay_;
  std::map<std::string, int> downloads_;
  utils::Millis begunAt_;
  FetchSources sources_;
  PieceChange change_;
  OriginHealth originHealth_;
  int fetchers_ = 0;
  int nearUploads_ = 0;
  int farUploads_ = 0;
  /** All uploads, and those to other regions by themselves. */
  net::Pacer ownLink_;
  net::Pacer farLink_;
  boost::fibers::mutex mutex_;
  /** Notified when the last fetcher has ended. */
  boost::fibers::condition_variable fetched_;
  telemetry::Logger logger_{ "pieces" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_PieceExchange_h
