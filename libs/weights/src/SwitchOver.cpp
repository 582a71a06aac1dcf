#include "SwitchOver.h"

#include <utility>

#include <net/Runtime.h>
#include <telemetry/Logger.h>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

constexpr utils::Millis kDrainTime(30000);
constexpr utils::Millis kLoadTimeout(60000);
constexpr utils::Millis kSettlePause(200);
constexpr utils::Millis kRetryPause(1000);

const telemetry::Logger&
GetLogger()
{
  static const telemetry::Logger sLogger("switch-over");
  return sLogger;
}

net::Endpoint
ReadUpstream(const schema::DaemonSettings& aSettings)
{
  return net::Endpoint::Parse(aSettings.side().upstream())
    .value_or(net::Endpoint{});
}

} // namespace

SwitchOver::SwitchOver(Services aServices,
                       RolloutLog& aLog,
                       Replicator::Hooks aHooks)
  : services_(aServices)
  , hooks_(std::move(aHooks))
  , permits_(aServices, aLog)
  , engine_(aServices.http, ReadUpstream(aServices.settings))
{
}

void
SwitchOver::Step(const schema::Profile& aProfile, bool aWhole)
{
  permits_.FlushReleases();
  // What the engine holds is asked, never remembered: it may have crashed,
  // or taken somebody else's order.
  utils::Error reason;
  auto state = engine_.GetState(reason);
  if (!state) {
    lastError_ = reason;
    SetServing({});
    return;
  }
  if (state->version() == aProfile.version() && !state->loading()) {
    Accept(aProfile, state->version());
    return;
  }
  if (state->loading()) {
    SetServing({});
    return;
  }
  auto serving = GetServing();
  if (serving.version != state->version()) {
    SetServing({ state->version().empty() ? "" : aProfile.name(),
                 serving.revision,
                 state->version() });
  }
  if (aWhole && clock_.Now() >= notBefore_) {
    Order(aProfile, !state->version().empty());
  }
}

void
SwitchOver::Forget()
{
  SetServing({});
}

void
SwitchOver::Withdraw(std::uint64_t aRevision)
{
  SetServing({});
  if (clock_.Now() < notBefore_) {
    return;
  }
  notBefore_ = clock_.Now() + kRetryPause;
  utils::Error reason;
  auto state = engine_.GetState(reason);
  if (!state || state->loading() || state->version().empty()) {
    return;
  }
  hooks_.pause();
  // This process may have been paused while requests ended, so the view is
  // looked at right before the order.
  if (hooks_.waitIdle(kDrainTime) && IsUnwanted()) {
    schema::UnloadOrder order;
    order.set_fencing(aRevision);
    engine_.Unload(order, reason);
  }
  hooks_.resume();
  if (reason.IsSet()) {
    GetLogger().Report(reason, { { "version", state->version() } });
  }
}

bool
SwitchOver::IsUnwanted() const
{
  auto view = services_.node.GetView();
  const auto* member = view->FindMember(services_.settings.node().vm());
  return member != nullptr && !member->vm.group().empty() &&
         view->config->FindProfileOf(member->vm) == nullptr;
}

bool
SwitchOver::IsStillWanted(const schema::Profile& aProfile) const
{
  auto view = services_.node.GetView();
  const auto* member = view->FindMember(services_.settings.node().vm());
  const auto* profile =
    member ? view->config->FindProfileOf(member->vm) : nullptr;
  return profile != nullptr && profile->name() == aProfile.name() &&
         profile->revision() == aProfile.revision();
}

void
SwitchOver::Order(const schema::Profile& aProfile, bool aServes)
{
  // An engine that serves nothing can't be taken out of service.
  utils::Error reason;
  if (aServes && !permits_.Poll(aProfile, reason)) {
    lastError_ = reason;
    notBefore_ = clock_.Now() + permits_.GetPause(aProfile);
    return;
  }
  lastError_ = {};
  hooks_.pause();
  // Others stop sending now; what still runs here is of the old version and
  // is judged by it until the engine gets its order.
  Announce({});
  DrainAndOrder(aProfile, aServes);
  hooks_.resume();
  permits_.Release();
  if (lastError_.IsSet()) {
    notBefore_ = clock_.Now() + kRetryPause;
    SetServing({});
    // Step looks at what the engine really holds before it is used again.
  }
}

void
SwitchOver::DrainAndOrder(const schema::Profile& aProfile, bool aServes)
{
  if (aServes && !hooks_.waitIdle(kDrainTime)) {
    lastError_.Set(ErrorKind::Overloaded, "requests still run");
    return;
  }
  // This process may have been paused at any point above, so both are looked
  // at right before the order.
  if (aServes && !permits_.IsValid()) {
    lastError_.Set(ErrorKind::DeadlineExceeded, "the permit has run out");
    return;
  }
  if (!IsStillWanted(aProfile)) {
    lastError_.Set(ErrorKind::StaleRevision, "the profile has changed");
    return;
  }
  SetServing({});
  SendOrder(aProfile);
}

void
SwitchOver::SendOrder(const schema::Profile& aProfile)
{
  const auto& settings = services_.settings;
  net::Endpoint source{ settings.node().address(),
                        static_cast<std::uint16_t>(
                          settings.side().engine_port()) };
  schema::LoadOrder order;
  order.set_version(aProfile.version());
  order.set_fencing(aProfile.revision());
  order.set_source(source.ToString());
  utils::Error reason;
  engine_.Load(order, kLoadTimeout, reason);
  if (reason.IsSet()) {
    GetLogger().Report(reason, { { "version", aProfile.version() } });
  }
  // The answer may be lost, or an engine that ignores fencing may have taken
  // another order since: only what it says now counts.
  auto state = AskUntilSettled();
  if (state && state->version() == aProfile.version()) {
    Accept(aProfile, state->version());
    return;
  }
  if (!reason.IsSet()) {
    reason.Set(ErrorKind::VersionChanged, "the engine holds another version");
  }
  lastError_ = reason;
}

std::optional<schema::EngineState>
SwitchOver::AskUntilSettled()
{
  auto end = clock_.Now() + kLoadTimeout;
  std::optional<schema::EngineState> state;
  while (clock_.Now() < end) {
    utils::Error reason;
    state = engine_.GetState(reason);
    if (state && !state->loading()) {
      break;
    }
    net::Runtime::Sleep(kSettlePause);
  }
  return state;
}

void
SwitchOver::Accept(const schema::Profile& aProfile, const std::string& aVersion)
{
  lastError_ = {};
  SetServing({ aProfile.name(), aProfile.revision(), aVersion });
}

void
SwitchOver::SetServing(const ServingState& aServing)
{
  auto now = serving_.Get();
  if (now->profile == aServing.profile && now->revision == aServing.revision &&
      now->version == aServing.version) {
    return;
  }
  serving_.Set(std::make_shared<const ServingState>(aServing));
  Announce(aServing);
}

void
SwitchOver::Announce(const ServingState& aServing)
{
  services_.node.UpdateStatus([&](schema::NodeStatus& aStatus) {
    aStatus.set_ready_profile(aServing.profile);
    aStatus.set_ready_revision(aServing.revision);
    aStatus.set_ready_version(aServing.version);
  });
}

} // namespace waxwingyoke::weights
