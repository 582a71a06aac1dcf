#ifndef waxwingyoke_weights_SwitchOver_h
#define waxwingyoke_weights_SwitchOver_h

#include <optional>
#include <string>

#include <platform/EngineClient.h>
#include <utils/RcuCell.h>
#include <weights/Replicator.h>

#include "PermitHolder.h"
#include "Swarm.h"

namespace waxwingyoke::weights {

/**
 * Loads the version that this VM's profile names into the engine, holding a
 * permit while the VM is out of service, and publishes what the engine
 * reported. All methods but GetServing are called from one fiber.
 */
class SwitchOver
{
public:
  SwitchOver(ReplicatorContext aContext,
             RolloutLog& aLog,
             Replicator::Hooks aHooks);

  /**
   * Polls the engine once and starts a switch-over where it is due. aProfile is
   * the profile in force here; aComplete tells whether all chunks of its
   * version are stored and checked.
   */
  void Step(const schema::Profile& aProfile, bool aComplete);

  /** For a VM whose profile is unknown: reports nothing as served. */
  void ClearServing();

  /**
   * For a VM that no profile selects as of aRevision: waits for running
   * requests to end, then orders the engine to unload its version.
   */
  void DrainAndUnload(std::uint64_t aRevision);

  /** Callable from any thread. */
  ServingState GetServing() const { return *serving_.Get(); }

  const utils::Error& GetLastError() const { return lastError_; }

private:
  /** Whether the current view has no profile that selects this VM. */
  bool IsUnselected() const;
  /** Whether the current view still assigns this revision of aProfile. */
  bool IsStillDesired(const schema::Profile& aProfile) const;
  void RunSwitchOver(const schema::Profile& aProfile, bool aIsServing);
  void DrainAndLoad(const schema::Profile& aProfile, bool aIsServing);
  void SendLoadOrder(const schema::Profile& aProfile);
  std::optional<schema::EngineState> PollUntilLoaded();
  void MarkServing(const schema::Profile& aProfile,
                   const std::string& aVersion);
  void SetServing(const ServingState& aServing);

  /** Publishes aServing to other processes; does not change GetServing. */
  void PublishServing(const ServingState& aServing);

  const ReplicatorContext context_;
  Replicator::Hooks hooks_;
  PermitHolder permits_;
  platform::EngineClient engine_;
  utils::RcuCell<ServingState> serving_;
  utils::Error lastError_;
  utils::Clock clock_;
  utils::Millis retryNotBefore_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_SwitchOver_h
