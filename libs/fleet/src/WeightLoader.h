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
#include "LoadTracker.h"
#include "PeerLink.h"
#include "PieceExchange.h"
#include "PieceStore.h"
#include "SwitchPlan.h"

namespace waxwingyoke::fleet {

/** What the upstream on this VM serves, as sent to the entries. */
struct Serving
{
  /** Version whose weights are loaded completely; 0: none. */
  std::uint64_t version = 0;
  /**
   * False while a load runs or is about to be ordered, and until it is known
   * that the weights come from whole pieces.
   */
  bool accepting = false;
};

/**
 * Updates the upstream on this VM to the newest version: stages the pieces,
 * waits for the upstream's scheduled time, orders the load and monitors it.
 */
class WeightLoader
{
public:
  /** aOnServing is called after the result of GetServing has changed. */
  WeightLoader(const platform::FleetSettings& aSettings,
               platform::LocalUpstream& aUpstream,
               ConfigFollower& aConfig,
               PeerLink& aPeers,
               PieceStore& aStore,
               PieceExchange& aPieces,
               std::function<void()> aOnServing);

  /**
   * Stages and loads as far as possible; blocks the calling fiber meanwhile.
   * True if the upstream has the target version or its load was ordered.
   */
  bool Step();

  /** Reads the upstream's report; empty if it does not answer. */
  std::optional<platform::UpstreamReport> ReadReport(utils::Error& aReason);

  Serving GetServing() const;

  /** Whether the upstream serves the target version and no load runs. */
  bool IsUpToDate() const;

private:
  /**
   * A load that was announced to the entries and that no report has shown to be
   * complete.
   */
  struct Loading
  {
    std::uint64_t version = 0;
    /** Empty until the order is sent. */
    std::optional<utils::Millis> orderedAt;
    std::uint64_t expectedOrders = 0;
    /** Not of all layers. */
    bool isPartial = false;
  };

  void ApplyReport(const std::optional<platform::UpstreamReport>& aReport,
                   utils::Millis aSentAt);
  bool IsLoadComplete(const Loading& aLoading) const;
  const platform::EngineTraits* FindEngine() const;
  std::uint64_t GetLoadedVersion() const;
  /** The version of the layers that the upstream holds, also if some lack. */
  std::uint64_t GetHeldVersion(const platform::EngineTraits& aEngine) const;
  /**
   * The version that is being loaded; if none is, the loaded one. 0 if that has
   * to be loaded again.
   */
  std::uint64_t GetExpectedVersion() const;
  NamedVersion ChooseTarget(const platform::EngineTraits& aEngine) const;
  bool IsOrderOpen() const;
  bool ShouldFinishSuperseded(const NamedVersion& aNewest) const;
  void LogStaged(const NamedVersion& aTarget, utils::Millis aDelay) const;
  FetchTask MakeFetchTask(const platform::FleetConfig& aConfig,
                          const platform::EngineTraits& aEngine,
                          const NamedVersion& aTarget) const;
  bool BeginStaging(const FetchTask& aTask,
                    const platform::EngineTraits& aEngine,
                    const NamedVersion& aTarget);
  SwitchOptions MakeSwitchOptions(std::uint64_t aVersion) const;
  bool AwaitSwitchTime(const FetchTask& aTask, utils::Millis aDelay) const;
  utils::Millis GetSwitchDelay(const platform::EngineTraits& aEngine,
                               const NamedVersion& aTarget) const;
  bool Switch(const platform::EngineTraits& aEngine,
              const NamedVersion& aTarget);
  bool CheckStaged(const NamedVersion& aTarget);
  void CheckLoad(const platform::EngineTraits& aEngine);
  platform::LoadOrder MakeOrder(const platform::EngineTraits& aEngine,
                                std::uint64_t aVersion);
  void RefutePartial(const platform::EngineTraits& aEngine);
  bool MustCheckLoad(const platform::EngineTraits& aEngine) const;
  void RefuteByStaged(const platform::EngineTraits& aEngine);
  bool DropRefuted(const platform::EngineTraits& aEngine);
  bool SendOrder(const platform::LoadOrder& aOrder);
  bool IsCheckRecent() const;
  void WithdrawOrder(std::uint64_t aVersion, const utils::Error& aReason);
  void LogAcceptedOrders(
    const std::optional<platform::UpstreamReport>& aReport) const;
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
  LoadTracker tracker_;
  /** Start of the upstream's last known incarnation. */
  std::int64_t startedMs_ = 0;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_WeightLoader_h
