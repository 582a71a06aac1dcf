#ifndef waxwingyoke_platform_Upstream_h
#define waxwingyoke_platform_Upstream_h

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <net/Endpoint.h>

namespace waxwingyoke::platform {

/** Layers of a model that an upstream has in its memory. */
struct HeldLayers
{
  std::string model;
  std::uint64_t version = 0;
  std::uint32_t first = 0;
  /** One past the last. */
  std::uint32_t end = 0;

  bool operator==(const HeldLayers&) const = default;
};

/** One upstream as it registered itself in the platform's directory. */
struct Upstream
{
  /** Id of this incarnation; another one has another id or start time. */
  std::string id;
  std::string service;
  net::Endpoint endpoint;
  std::string dataCentre;
  std::uint32_t slots = 1;
  /** Accepts no new requests and exits soon. */
  bool draining = false;
  /** Start of the incarnation, wall clock; 0: unknown. */
  std::int64_t startedMs = 0;
  std::vector<HeldLayers> held;

  bool operator==(const Upstream&) const = default;

  /** The version of aModel whose aLayers layers are all held; 0: none. */
  std::uint64_t FindCompleteVersion(std::string_view aModel,
                                    std::uint32_t aLayers) const;
};

/** An upstream's reply to a status query. */
struct UpstreamReport
{
  std::vector<HeldLayers> held;
  /** An order is in progress. */
  bool busy = false;
  /** Orders accepted since its start. */
  std::uint64_t orders = 0;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  /** Slowdown relative to the service's description; over 1: slower. */
  double pace = 1;
  std::int64_t startedMs = 0;
};

/** The version of which aHeld has all aLayers layers of aModel; 0: none. */
std::uint64_t
FindCompleteVersion(const std::vector<HeldLayers>& aHeld,
                    std::string_view aModel,
                    std::uint32_t aLayers);

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_Upstream_h
