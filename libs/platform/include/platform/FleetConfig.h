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

/** What may be done twice for one request. */
enum class RequestKind
{
  /** Idempotent: may run more than once. */
  Safe,
  /** Runs at most once. */
  Unsafe,
  /** Answered by a stream of events; unsafe unless it may be resumed. */
  Stream
};

/** A service that gets a share of a route's requests. */
struct ServiceShare
{
  std::string service;
  std::uint32_t weight = 1;
};

/** Which requests go to which service, and under what terms. */
struct Route
{
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string pathPrefix;
  RequestKind kind = RequestKind::Unsafe;
  /** A stream may go on at another upstream after its last whole event. */
  bool resumable = false;
  /** The longest that a caller is kept waiting. */
  utils::Millis timeout;
  /** To the answer, or to a stream's first event. */
  utils::Millis objective;
  /** Longest pause between a stream's events that is on time; 0: any. */
  utils::Millis pauseLimit;
  /** 0 is the most urgent. */
  int priority = 0;
  /** Upstreams that one attempt of a caller may be sent to. */
  int maxUpstreams = 1;
  /** Needs no key. */
  bool isPublic = false;
  std::vector<ServiceShare> shares;

  bool IsIdempotent() const
  {
    return kind == RequestKind::Safe ||
           (kind == RequestKind::Stream && resumable);
  }
};

/** How a model engine works, as its service describes it. */
struct EngineTraits
{
  std::string model;
  /** Requests that are processed at once. */
  std::uint32_t slots = 1;
  /** Tokens of context that fit in memory. */
  std::int64_t memoryTokens = 0;
  /** Token steps in a pass that has writers. */
  std::uint32_t stepsPerPass = 1;
  double stepMs = 0;
  double stepMsPerRequest = 0;
  double stepMsPerThousandTokens = 0;
  /** Prompt tokens read in a millisecond. */
  double readTokensPerMs = 1;
  /** For each million pairs of a prompt's token and an earlier one. */
  double pairMsPerMillion = 0;
  double usualPromptTokens = 0;
  double usualAnswerTokens = 0;
  std::uint32_t layers = 0;
  std::uint32_t pieces = 0;
  std::size_t pieceBytes = 0;
  /** A whole load from staged pieces. */
  utils::Millis warmTime;
};

struct ServiceInfo
{
  std::string name;
  /** Connections that one upstream takes from all callers; 0: unknown. */
  std::uint32_t maxConnections = 0;
  std::optional<EngineTraits> engine;
  /** Set for the service that hands out weights. */
  std::optional<net::Endpoint> origin;
  /** Where the origin stands; empty for other services. */
  std::string originDataCentre;
};

struct Organisation
{
  std::string name;
  std::vector<std::string> keys;
  /** Goes before the route's. */
  std::optional<int> priority;
};

/** Bounds of what callers may send. */
struct CallerLimits
{
  std::size_t headerBytes = 16 << 10;
  std::size_t bodyBytes = 4 << 20;
  utils::Millis headerTimeout{ 3000 };
  utils::Millis idleTimeout{ 15000 };
};

/**
 * One configuration as the operator published it, with lookups. Immutable
 * once Index was called.
 */
class FleetConfig
{
public:
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceInfo> services;
  std::vector<Organisation> organisations;
  CallerLimits limits;

  /** Builds the lookups; once, after the fields are filled. */
  void Index();

  /** The route with the longest prefix of aPath; null if none matches. */
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /** Who holds aKey; null for an unknown key. */
  const Organisation* FindOrganisation(std::string_view aKey) const;

  const ServiceInfo* FindService(std::string_view aName) const;

  /** The service that hands out weights; null if there is none. */
  const ServiceInfo* FindOrigin() const;

private:
  // Indices into the vectors above, so that a copy stays whole.
  std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost_;
  std::map<std::string, std::size_t, std::less<>> organisationByKey_;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_FleetConfig_h
