#ifndef waxwingyoke_fleet_WeightLoader_h
#define waxwingyoke_fleet_WeightLoader_h

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <platform/FleetConfig.h>
#include <platform/FleetSettings.h>
#include <platform/UpstreamCalls.h>
#include <telemetry/Logger.h>
#include <utils/Time.h>

#include "ConfigFollower.h"
#include "PeerLink.h"
#include "PieceExchange.h"
#include "PieceStore.h"
#include "SwitchPlan.h"

namespace waxwingyoke::fleet {

/** What the upstream on this VM serves. */
struct Serving
{
  /** Complete weights; 0: none. */
  std::uint64_t version = 0;
  /** False while it loads or is about to. */
  bool accepting = false;
};

/**
 * Brings the upstream on this VM to the newest version: stages the pieces,
 * waits for its wave, orders the load and watches it.
 */
class WeightLoader
{
public:
  /** aOnServing runs when what GetServing says has changed. */
  WeightLoader(const platform::FleetSettings& aSettings,
               platform::LocalUpstream& aUpstream,
               ConfigFollower& aConfig,
               PeerLink& aPeers,
               PieceStore& aStore,
               PieceExchange& aPieces,
               std::function<void()> aOnServing);

  /** Takes the next step; true if the upstream is where it should be. */
  bool Step();

  /** A new report of the upstream; empty if it does not answer. */
  void TakeReport(const std::optional<platform::UpstreamReport>& aReport);

  Serving GetServing() const;

  /** The upstream serves the newest version, and nothing is to change. */
  bool IsCalm() const;

private:
  /** A load that was ordered and is not seen to be done. */
  struct Loading
  {
    std::uint64_t version = 0;
    utils::Millis orderedAt;
  };

  const platform::EngineTraits* FindEngine() const;
  std::uint64_t GetHeld() const;
  std::uint64_t GetHeldSoon() const;
  NamedVersion ChooseTarget(const platform::EngineTraits& aEngine) const;
  bool IsSupersededWanted(const NamedVersion& aNewest) const;
  void LogStaged(const NamedVersion& aTarget, utils::Millis aDelay) const;
  FetchOrder MakeOrder(const platform::FleetConfig& aConfig,
                       const platform::EngineTraits& aEngine,
                       const NamedVersion& aTarget) const;
  bool BeginStaging(const FetchOrder& aOrder,
                    const platform::EngineTraits& aEngine,
                    const NamedVersion& aTarget);
  SwitchTerms MakeSwitchTerms(std::uint64_t aVersion) const;
  bool AwaitTurn(const FetchOrder& aOrder, utils::Millis aDelay) const;
  utils::Millis GetSwitchDelay(const platform::EngineTraits& aEngine,
                               const NamedVersion& aTarget) const;
  bool Switch(const platform::EngineTraits& aEngine,
              const NamedVersion& aTarget);
  void EndLoading(bool aDone);

  const platform::FleetSettings& settings_;
  platform::LocalUpstream& upstream_;
  ConfigFollower& config_;
  PeerLink& peers_;
  PieceStore& store_;
  PieceExchange& pieces_;
  std::function<void()> onServing_;
  utils::Clock clock_ = utils::Clock::CountingSuspension();
  telemetry::Logger logger_{ "weights" };
  std::optional<platform::UpstreamReport> report_;
  std::optional<Loading> loading_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_WeightLoader_h
