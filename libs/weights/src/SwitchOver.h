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
 * Brings the engine beside this process to the version that its profile
 * names, and keeps what the engine reported. Runs in one fiber.
 */
class SwitchOver
{
public:
  SwitchOver(Services aServices, RolloutLog& aLog, Replicator::Hooks aHooks);

  /**
   * One look at the engine. aProfile is the one in force here, aWhole
   * whether its version is held whole and checked.
   */
  void Step(const schema::Profile& aProfile, bool aWhole);

  /** It is not known what this VM is for. */
  void Forget();

  /**
   * No profile selects this VM as of aRevision: lets running requests end
   * and has the engine unload what it holds.
   */
  void Withdraw(std::uint64_t aRevision);

  ServingState GetServing() const { return *serving_.Get(); }

  const utils::Error& GetLastError() const { return lastError_; }

private:
  /** Whether still no profile selects this VM. */
  bool IsUnwanted() const;
  /** What the profile asks for now, as the view has it. */
  bool IsStillWanted(const schema::Profile& aProfile) const;
  void Order(const schema::Profile& aProfile, bool aServes);
  void DrainAndOrder(const schema::Profile& aProfile, bool aServes);
  void SendOrder(const schema::Profile& aProfile);
  std::optional<schema::EngineState> AskUntilSettled();
  void Accept(const schema::Profile& aProfile, const std::string& aVersion);
  void SetServing(const ServingState& aServing);

  /** Tells the other processes, and leaves this one as it is. */
  void Announce(const ServingState& aServing);

  const Services services_;
  Replicator::Hooks hooks_;
  PermitHolder permits_;
  platform::EngineClient engine_;
  utils::RcuCell<ServingState> serving_;
  utils::Error lastError_;
  utils::Clock clock_;
  utils::Millis notBefore_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_SwitchOver_h
