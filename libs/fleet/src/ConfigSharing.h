#ifndef waxwingyoke_fleet_ConfigSharing_h
#define waxwingyoke_fleet_ConfigSharing_h

#include <net/HttpClient.h>
#include <net/Router.h>
#include <net/Runtime.h>
#include <telemetry/Logger.h>
#include <utils/Time.h>

#include "ConfigFollower.h"
#include "EntryRotation.h"
#include "PeerLink.h"

namespace waxwingyoke::fleet {

/** When peers are asked for the configuration, and for what. */
struct SharingOptions
{
  /** Ask once the configuration is older than this. */
  utils::Millis maxAge;
  /** Time between two checks whether to ask. */
  utils::Millis interval;
  /**
   * The text of a changed configuration is requested after a delay of up to
   * this time, so that not all processes request it at once. Zero: always
   * requested with the rest.
   */
  utils::Millis textDelay;
};

/**
 * The entries of one region that read the operator's topic, by rank; the others
 * ask them. Each read is charged, and a region of many entries needs no more
 * reads than one of few.
 */
std::vector<std::string>
PickConfigReaders(std::vector<std::string> aVms);

/**
 * Serves this process's state of the operator's topic to other processes, and
 * requests it from entries where the log doesn't answer. Used by one thread.
 */
class ConfigSharing
{
public:
  ConfigSharing(net::HttpClient& aClient,
                ConfigFollower& aConfig,
                PeerLink& aPeers,
                const SharingOptions& aOptions);

  /** Adds the route on which other processes request the state. */
  void AddRoute(net::Router& aRouter);
  /** Starts the loop that requests the state from entries when due. */
  void Start(net::Runtime& aRuntime);

  /** Names the VMs of the entries to ask first; empty: any. */
  void SetPreferred(std::vector<std::string> aVms)
  {
    rotation_.SetPreferred(std::move(aVms));
  }

private:
  void Loop();
  void FetchFrom(const Peer& aPeer, bool aWithText);
  void ScheduleTextFetch(std::uint64_t aVersion);

  net::HttpClient& client_;
  ConfigFollower& config_;
  PeerLink& peers_;
  SharingOptions options_;
  utils::Clock clock_;
  EntryRotation rotation_;
  /**
   * When to request the text of a newer configuration; empty if there is none.
   */
  std::optional<utils::Millis> textDueAt_;
  telemetry::Logger logger_{ "config" };
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_ConfigSharing_h
