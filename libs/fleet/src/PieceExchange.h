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

/** Whether the set of staged pieces changed, for notices to other sides. */
struct PieceChange
{
  bool isChanged = false;
  /** A piece or list came from the origin; other sides may wait for it. */
  bool isFromOrigin = false;
};

/** Pieces fetched by one call of FetchMissing, by kind of source. */
struct FetchSources
{
  struct Source
  {
    int pieces = 0;
    /** Time from the start of the call to the last piece. */
    utils::Millis lastElapsed;
  };
  Source origin;
  Source otherRegions;
  Source ownRegion;
};

/** Parameters of fetching one version. */
struct FetchTask
{
  /** Null if no service provides weights. */
  const platform::ServiceInfo* origin = nullptr;
  /** Pieces of each version, as configured; 0: not stated. */
  std::size_t pieces = 0;
  /** Largest sizes of a piece, and of the list of a version's pieces. */
  std::size_t maxPieceBytes = 0;
  std::size_t maxListBytes = 0;
  /** The version was named recently, so no side had it at that time. */
  bool isNew = false;
  /** Returns whether the version is still the one to stage. */
  std::function<bool()> isWanted;
};

/**
 * Downloads pieces from other sides and from the origin, and serves staged
 * pieces to other sides. Sides announce their pieces to each other by notices.
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

  /**
   * Fetches the missing pieces of the store's list. Blocks the calling fiber
   * until all are staged (returns true) or the version is not wanted any more.
   */
  bool FetchMissing(const FetchTask& aTask);

  /**
   * The piece list of a version, from a side that has it or from the origin.
   * Empty without a reason while the origin is in backoff or this side is not
   * yet due to request the list from it.
   */
  std::optional<platform::PieceList> GetList(const FetchTask& aTask,
                                             const std::string& aModel,
                                             std::uint64_t aVersion,
                                             utils::Error& aReason);

  /** Stores the pieces that another side announced. */
  void HandleNotice(const Peer& aFrom, const schema::SideNotice& aNotice);

  /** Fills in which pieces are staged. */
  void FillNotice(schema::SideNotice& aNotice) const;

  /** Sources of the last call of FetchMissing. */
  const FetchSources& GetSources() const { return sources_; }

  bool IsOriginAnswering() const { return originHealth_.IsAnswering(); }

  /** Whether other sides announced all pieces that are missing. */
  bool AreMissingPiecesAnnounced() const;

  /** The staged pieces are to be announced to other sides soon. */
  void MarkChanged() { change_.isChanged = true; }

  /** Returns and clears what changed since the last call. */
  PieceChange TakeChange() { return std::exchange(change_, {}); }

private:
  /** Content of a side's last notice. */
  struct Announcement
  {
    Peer peer;
    std::string model;
    std::uint64_t version = 0;
    std::vector<bool> pieces;
    utils::Millis busyUntil;
  };

  static bool IsComplete(const std::optional<platform::PieceList>& aList,
                         const FetchTask& aTask,
                         utils::Error& aReason);
  bool HasUnannouncedPiece(const std::vector<bool>& aPieces) const;
  bool IsAnnounced(std::uint32_t aPiece) const;
  PickQuery MakeQuery(const FetchTask& aTask);
  void AddRemoteTimes(PickQuery& aQuery);
  void AddSides(const FetchTask& aTask, PickQuery& aQuery) const;
  bool IsListRequestDue(const FetchTask& aTask, std::uint64_t aVersion);
  void FetchLoop(const FetchTask& aTask);
  std::optional<std::string> FetchFromOrigin(const PieceChoice& aChoice,
                                             const FetchTask& aTask,
                                             utils::Error& aReason);
  void RecordSource(const PieceChoice& aChoice);
  bool FetchPiece(const PieceChoice& aChoice, const FetchTask& aTask);
  std::optional<std::string> FetchFrom(const PieceChoice& aChoice,
                                       const FetchTask& aTask,
                                       utils::Error& aReason);
  void ServePiece(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter);
  bool SendPaced(const std::string& aBytes,
                 bool aIsRemoteRegion,
                 net::ResponseWriter& aWriter);
  void ServeList(const net::HttpRequest& aRequest,
                 net::ResponseWriter& aWriter);
  std::optional<platform::PieceList> FetchListFromPeer(
    const Peer& aPeer,
    const FetchTask& aTask,
    const std::string& aModel,
    std::uint64_t aVersion);

  const platform::FleetSettings& settings_;
  net::HttpClient& client_;
  PeerLink& peers_;
  PieceStore& store_;
  platform::WeightOrigin& origin_;
  utils::Clock clock_;
  std::map<std::string, Announcement> announcements_;
  /** Cached ranks, and the XOR of the hashes of the sides they belong to. */
  std::vector<PieceRank> ranks_;
  std::uint64_t rankedSidesHash_ = 0;
  /** By piece: when a side of another region first announced it. */
  std::vector<std::optional<utils::Millis>> remoteSince_;
  /** The version whose list is wanted, and when it was first requested. */
  std::uint64_t listVersion_ = 0;
  utils::Millis listWantedAt_;
  std::set<std::uint32_t> inFlight_;
  std::map<std::string, int> downloads_;
  utils::Millis startedAt_;
  FetchSources sources_;
  PieceChange change_;
  OriginHealth originHealth_;
  int fetchers_ = 0;
  int localUploads_ = 0;
  int remoteUploads_ = 0;
  /** Limits all uploads; those to other regions pass both. */
  net::Pacer uploadPacer_;
  net::Pacer remoteUploadPacer_;
  boost::fibers::mutex mutex_;
  /** Notified whenever a fetcher ends. */
  boost::fibers::condition_variable fetchersDone_;
  telemetry::Logger logger_{ "pieces" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_PieceExchange_h
