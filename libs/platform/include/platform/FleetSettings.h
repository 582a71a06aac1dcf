#ifndef waxwingyoke_platform_FleetSettings_h
#define waxwingyoke_platform_FleetSettings_h

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <net/Endpoint.h>
#include <utils/Time.h>

namespace waxwingyoke::platform {

/** The bounds that the deployment's rules set. */
struct FleetBounds
{
  /** A published configuration is in force after this. */
  utils::Millis configApply{ 2000 };
  /** A key that was taken away runs nothing after this. */
  utils::Millis revoke{ 5000 };
  /** From SIGTERM to SIGKILL. */
  utils::Millis grace{ 8000 };
  /** A named version is the only one that work begins on after this. */
  utils::Millis version{ 8000 };
  /** Second sends, over all entries: this share of the requests ... */
  double retryRatio = 0.2;
  /** ... and this many more in each window. */
  double retrySlack = 100;
  utils::Millis retryWindow{ 10000 };
};

/** What a process of the fleet is told at its start. */
struct FleetSettings
{
  std::string vm;
  std::string address;
  std::string dataCentre;
  std::string region;
  /** Region of each data centre. */
  std::map<std::string, std::string> regions;
  std::optional<net::Endpoint> callers;
  std::optional<net::Endpoint> readiness;
  /** The VM's own link, bytes a second each way; 0: unknown. */
  std::uint64_t linkBytesPerSecond = 0;
  /** First port for what our processes say to each other. */
  std::uint16_t firstPeerPort = 0;
  /** Addresses of a few entries; they may be gone. */
  std::vector<std::string> seeds;
  net::Endpoint store;
  /** The upstream on this VM, for a side. */
  std::optional<net::Endpoint> localUpstream;
  std::string localService;
  FleetBounds bounds;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_FleetSettings_h
