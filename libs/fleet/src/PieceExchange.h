#ifndef waxwingyoke_fleet_PieceExchange_h
#define waxwingyoke_fleet_PieceExchange_h

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <net/HttpClient.h>
#include <net/Router.h>
#include <platform/FleetSettings.h>
#include <telemetry/Logger.h>

#include "PeerLink.h"
#include "PieceStore.h"

namespace waxwingyoke::fleet {

/** Where pieces come from besides the sides. */
struct OriginSource
{
  platform::WeightOrigin& origin;
  std::optional<net::Endpoint> endpoint;
};

/**
 * Brings pieces from other sides, and hands out what lies here. For each
 * piece one side of a region fetches it from outside the region, and one of
 * all fetches it from the origin; the others ask those.
 */
class PieceExchange
{
public:
  PieceExchange(net::Runtime& aRuntime,
                const platform::FleetSettings& aSettings,
                net::HttpClient& aClient,
                PeerLink& aPeers,
                PieceStore& aStore,
                platform::WeightOrigin& aOrigin);

  void AddRoutes(net::Router& aRouter);

  /**
   * Brings what the store's list lacks; true when nothing is missing.
   * aIsNew: the version was named just now, so that nobody has it yet.
   */
  bool FetchMissing(const std::optional<net::Endpoint>& aOrigin, bool aIsNew);

  /** The list of a version, from a side that has it or from the origin. */
  std::optional<platform::PieceList> GetList(
    const std::optional<net::Endpoint>& aOrigin,
    const std::string& aModel,
    std::uint64_t aVersion,
    utils::Error& aReason);

private:
  /** Where one piece is asked for, in order. */
  struct Source
  {
    std::optional<net::Endpoint> peer;
    utils::Millis patience;
  };

  std::vector<Source> PlanSources(const utils::Digest& aPiece,
                                  bool aIsNew) const;
  void FetchLoop(const std::optional<net::Endpoint>& aOrigin, bool aIsNew);
  bool FetchOne(std::uint32_t aPiece,
                const std::optional<net::Endpoint>& aOrigin,
                bool aIsNew);
  std::optional<std::string> FetchFrom(
    const Source& aSource,
    std::uint32_t aPiece,
    const std::optional<net::Endpoint>& aOrigin,
    utils::Error& aReason);
  void ServePiece(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter);
  void ServeList(const net::HttpRequest& aRequest,
                 net::ResponseWriter& aWriter);
  std::optional<platform::PieceList> AskPeerForList(const Peer& aPeer,
                                                    const std::string& aModel,
                                                    std::uint64_t aVersion);

  net::Runtime& runtime_;
  const platform::FleetSettings& settings_;
  net::HttpClient& client_;
  PeerLink& peers_;
  PieceStore& store_;
  platform::WeightOrigin& origin_;
  std::vector<std::uint32_t> queue_;
  int fetchers_ = 0;
  int uploads_ = 0;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  telemetry::Logger logger_{ "pieces" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_PieceExchange_h
