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

/** Time and rate limits that the deployment's rules set. */
struct FleetBounds
{
  /** Within this, a published configuration is in force. */
  utils::Millis configApply{ 2000 };
  /** Within this, a revoked key runs no more requests. */
  utils::Millis revoke{ 5000 };
  /** From SIGTERM to SIGKILL. */
  utils::Millis grace{ 8000 };
  /** Within this, work begins on the newly named version only. */
  utils::Millis version{ 8000 };
  /** Retries to upstreams, over all entries, in each window: at most this share
   * of the requests plus retrySlack. */
  double retryRatio = 0.2;
  /** Retries in each window beyond the share. */
  double retrySlack = 100;
  utils::Millis retryWindow{ 10000 };
};

/** Settings that a process of the fleet receives at its start. */
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
  /** Bandwidth of the VM's link in each direction; 0: unknown. */
  std::uint64_t linkBytesPerSecond = 0;
  /** A process that uses more memory is killed; 0: unknown. */
  std::uint64_t memoryBytes = 0;
  /** The most descriptors that a process may open; 0: unknown. */
  std::uint64_t descriptors = 0;
  /** First port for connections between the fleet's own processes. */
  std::uint16_t firstPeerPort = 0;
  /** Addresses of a few entries to join by; they may no longer exist. */
  std::vector<std::string> seeds;
  net::Endpoint store;
  /** For a side: the upstream on this VM. */
  std::optional<net::Endpoint> localUpstream;
  std::string localService;
  FleetBounds bounds;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_FleetSettings_h
