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

/** When the entries are asked, and for what. */
struct SharingTerms
{
  /** What is known is older than this. */
  utils::Millis maxAge;
  /** Between two looks whether to ask. */
  utils::Millis interval;
  /**
   * A changed configuration's text is asked for within this time after it is
   * known of, so that not all ask together; zero: with the rest.
   */
  utils::Millis textDelay;
};

/**
 * Hands out what is known of the operator's topic, and asks the entries for
 * it where the log does not tell.
 */
class ConfigSharing
{
public:
  ConfigSharing(net::HttpClient& aClient,
                ConfigFollower& aConfig,
                PeerLink& aPeers,
                const SharingTerms& aTerms);

  void AddRoute(net::Router& aRouter);
  void Start(net::Runtime& aRuntime);

private:
  void Loop();
  std::optional<Peer> PickEntry();
  void Ask(const Peer& aPeer, bool aForText);
  void NoteOffset(std::uint64_t aOffset);

  net::HttpClient& client_;
  ConfigFollower& config_;
  PeerLink& peers_;
  SharingTerms terms_;
  utils::Clock clock_;
  std::size_t next_ = 0;
  /** Set while another process knows a configuration that is not here. */
  std::optional<utils::Millis> textDueAt_;
  telemetry::Logger logger_{ "config" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_ConfigSharing_h
