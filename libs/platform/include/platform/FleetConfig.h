#ifndef waxwingyoke_platform_FleetConfig_h
#define waxwingyoke_platform_FleetConfig_h

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <net/Endpoint.h>
#include <utils/Time.h>

namespace waxwingyoke::platform {

/** Whether a request may run more than once. */
enum class RequestKind
{
  /** Idempotent: may run more than once. */
  Safe,
  /** Runs at most once. */
  Unsafe,
  /** Answered by a stream of events; unsafe unless the route is resumable. */
  Stream
};

/** Names of regions. */
using RegionList = std::vector<std::string>;

/** A service and the weight of its share of a route's requests. */
struct ServiceShare
{
  std::string service;
  std::uint32_t weight = 1;
};

/** Which requests go to which services, with their deadlines and limits. */
struct Route
{
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string pathPrefix;
  RequestKind kind = RequestKind::Unsafe;
  /** A stream may continue at another upstream after its last complete
   * event. */
  bool resumable = false;
  /** The longest time that a caller waits for the answer. */
  utils::Millis timeout;
  /** Target time to the answer, or to a stream's first event. */
  utils::Millis objective;
  /** Target for the longest pause between a stream's events; 0: none. */
  utils::Millis pauseLimit;
  /** 0 is the most urgent. */
  int priority = 0;
  /** Most upstreams that one attempt of a caller may be sent to. */
  int maxUpstreams = 1;
  /** Requests need no API key. */
  bool isPublic = false;
  std::vector<ServiceShare> shares;
  /**
   * The only regions in which its requests may run; empty optional: any, empty
   * list: none.
   */
  std::optional<RegionList> homeRegions;

  bool IsIdempotent() const
  {
    return kind == RequestKind::Safe ||
           (kind == RequestKind::Stream && resumable);
  }
};

/** Performance model of an engine, as its service describes it. */
struct EngineTraits
{
  std::string model;
  /** Requests that are processed concurrently. */
  std::uint32_t slots = 1;
  /** Capacity of the KV cache, in tokens of context. */
  std::int64_t memoryTokens = 0;
  /** Token steps in one pass while requests generate tokens. */
  std::uint32_t stepsPerPass = 1;
  double stepMs = 0;
  double stepMsPerRequest = 0;
  double stepMsPerThousandTokens = 0;
  /** Prompt tokens processed per millisecond. */
  double readTokensPerMs = 1;
  /** Attention cost for each million pairs of a prompt token and an earlier
   * one. */
  double pairMsPerMillion = 0;
  double usualPromptTokens = 0;
  double usualAnswerTokens = 0;
  std::uint32_t layers = 0;
  std::uint32_t pieces = 0;
  std::size_t pieceBytes = 0;
  /** Duration of a load of all layers from staged pieces. */
  utils::Millis fullLoadTime;
};

struct ServiceInfo
{
  std::string name;
  /** Most connections that one upstream accepts in total; 0: unknown. */
  std::uint32_t maxConnections = 0;
  std::optional<EngineTraits> engine;
  /** Set for the service that serves weights. */
  std::optional<net::Endpoint> origin;
  /** Data centre of the origin; empty for other services. */
  std::string originDataCentre;
};

struct Organisation
{
  std::string name;
  std::vector<std::string> keys;
  /** Overrides the route's priority. */
  std::optional<int> priority;
  /** As Route::homeRegions. */
  std::optional<RegionList> homeRegions;
};

/** Size and time limits of callers' requests. */
struct CallerLimits
{
  std::size_t headerBytes = 16 << 10;
  std::size_t bodyBytes = 4 << 20;
  utils::Millis headerTimeout{ 3000 };
  utils::Millis idleTimeout{ 15000 };
};

/**
 * One configuration as the operator published it, with lookups. Immutable after
 * Index.
 */
class FleetConfig
{
public:
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceInfo> services;
  std::vector<Organisation> organisations;
  /**
   * Whether requests need the key of an organisation, but for those on public
   * routes. May be set while there is no organisation: none is accepted then.
   */
  bool needsKeys = false;
  CallerLimits limits;

  /** Builds the lookups. Call once, after the fields are set. */
  void Index();

  /** The host's route with the longest prefix of aPath; null if none. */
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /**
   * The organisation that aKey belongs to; null for an unknown or an empty key.
   */
  const Organisation* FindOrganisation(std::string_view aKey) const;

  const ServiceInfo* FindService(std::string_view aName) const;

  /** The service that serves weights; null if there is none. */
  const ServiceInfo* FindOrigin() const;

private:
  // Indices rather than pointers into the vectors, so that copies stay valid.
  std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost_;
  std::map<std::string, std::size_t, std::less<>> organisationByKey_;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_FleetConfig_h
