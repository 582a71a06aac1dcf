#ifndef waxwingyoke_fleet_ConfigSharing_h
#define waxwingyoke_fleet_ConfigSharing_h

#include <net/HttpClient.h>
#include <net/Router.h>
#include <net/Runtime.h>
#include <telemetry/Logger.h>
#include <utils/Time.h>

#include "ConfigFollower.h"
#include "PeerLink.h"

namespace waxwingyoke::fleet {

/**
 * Hands out what is known of the operator's topic, and asks the entries for
 * it where the log does not tell.
 */
class ConfigSharing
{
public:
  /** Asks once what is known is older than aMaxAge, or behind others. */
  ConfigSharing(net::HttpClient& aClient,
                ConfigFollower& aConfig,
                PeerLink& aPeers,
                utils::Millis aMaxAge);

  void AddRoute(net::Router& aRouter);
  void Start(net::Runtime& aRuntime);

private:
  void Loop();
  void Ask(const Peer& aPeer);

  net::HttpClient& client_;
  ConfigFollower& config_;
  PeerLink& peers_;
  utils::Millis maxAge_;
  utils::Clock clock_;
  telemetry::Logger logger_{ "config" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_ConfigSharing_h
