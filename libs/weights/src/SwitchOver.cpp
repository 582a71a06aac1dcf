#include "SwitchOver.h"

#include <utility>

#include <net/Runtime.h>
#include <telemetry/Logger.h>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

constexpr utils::Millis kDrainTime(30000);
constexpr utils::Millis kLoadTimeout(60000);
constexpr utils::Millis kLoadPollInterval(200);
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

SwitchOver::SwitchOver(ReplicatorContext aContext,
                       RolloutLog& aLog,
                       Replicator::Hooks aHooks)
  : context_(aContext)
  , hooks_(std::move(aHooks))
  , permits_(aContext, aLog)
  , engine_(aContext.http, ReadUpstream(aContext.settings))
{
}

void
SwitchOver::Step(const schema::Profile& aProfile, bool aComplete)
{
  permits_.FlushReleases();
  // The engine's state is polled rather than cached: it may have crashed, or
  // have executed an order of another process.
  utils::Error reason;
  auto state = engine_.GetState(reason);
  if (!state) {
    lastError_ = reason;
    SetServing({});
    return;
  }
  if (state->version() == aProfile.version() && !state->loading()) {
    MarkServing(aProfile, state->version());
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
  if (aComplete && clock_.Now() >= retryNotBefore_) {
    RunSwitchOver(aProfile, !state->version().empty());
  }
}

void
SwitchOver::ClearServing()
{
  SetServing({});
}

void
SwitchOver::DrainAndUnload(std::uint64_t aRevision)
{
  SetServing({});
  if (clock_.Now() < retryNotBefore_) {
    return;
  }
  retryNotBefore_ = clock_.Now() + kRetryPause;
  utils::Error reason;
  auto state = engine_.GetState(reason);
  if (!state || state->loading() || state->version().empty()) {
    return;
  }
  hooks_.pause();
  // This process may have been suspended while requests ended, so the view is
  // checked immediately before the order.
  if (hooks_.waitIdle(kDrainTime) && IsUnselected()) {
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
SwitchOver::IsUnselected() const
{
  auto view = context_.node.GetView();
  const auto* member = view->FindMember(context_.settings.node().vm());
  return member != nullptr && !member->vm.group().empty() &&
         view->config->FindProfileOf(member->vm) == nullptr;
}

bool
SwitchOver::IsStillDesired(const schema::Profile& aProfile) const
{
  auto view = context_.node.GetView();
  const auto* member = view->FindMember(context_.settings.node().vm());
  const auto* profile =
    member ? view->config->FindProfileOf(member->vm) : nullptr;
  return profile != nullptr && profile->name() == aProfile.name() &&
         profile->revision() == aProfile.revision();
}

void
SwitchOver::RunSwitchOver(const schema::Profile& aProfile, bool aIsServing)
{
  // An engine that serves nothing needs no permit: its switch-over takes no
  // capacity away.
  utils::Error reason;
  if (aIsServing && !permits_.Poll(aProfile, reason)) {
    lastError_ = reason;
    retryNotBefore_ = clock_.Now() + permits_.GetRetryDelay(aProfile);
    return;
  }
  lastError_ = {};
  hooks_.pause();
  // Other processes stop sending requests here. GetServing keeps the old
  // version until the engine gets its order, since the requests that still run
  // are served by that version.
  PublishServing({});
  DrainAndLoad(aProfile, aIsServing);
  hooks_.resume();
  permits_.Release();
  if (lastError_.IsSet()) {
    retryNotBefore_ = clock_.Now() + kRetryPause;
    SetServing({});
    // The next Step polls the engine's actual version and publishes it.
  }
}

void
SwitchOver::DrainAndLoad(const schema::Profile& aProfile, bool aIsServing)
{
  if (aIsServing && !hooks_.waitIdle(kDrainTime)) {
    lastError_.Set(ErrorKind::Overloaded, "requests still run");
    return;
  }
  // This process may have been suspended at any point above, so the permit and
  // the profile are checked immediately before the order.
  if (aIsServing && !permits_.IsValid()) {
    lastError_.Set(ErrorKind::DeadlineExceeded,
                   "the switch-over permit has expired");
    return;
  }
  if (!IsStillDesired(aProfile)) {
    lastError_.Set(ErrorKind::StaleRevision, "the profile has changed");
    return;
  }
  SetServing({});
  SendLoadOrder(aProfile);
}

void
SwitchOver::SendLoadOrder(const schema::Profile& aProfile)
{
  const auto& settings = context_.settings;
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
  // The response may be lost, or an engine that ignores fencing may have
  // executed another order since, so the result is the engine's polled state.
  auto state = PollUntilLoaded();
  if (state && state->version() == aProfile.version()) {
    MarkServing(aProfile, state->version());
    return;
  }
  if (!reason.IsSet()) {
    reason.Set(ErrorKind::VersionChanged, "the engine holds another version");
  }
  lastError_ = reason;
}

std::optional<schema::EngineState>
SwitchOver::PollUntilLoaded()
{
  auto end = clock_.Now() + kLoadTimeout;
  std::optional<schema::EngineState> state;
  while (clock_.Now() < end) {
    utils::Error reason;
    state = engine_.GetState(reason);
    if (state && !state->loading()) {
      break;
    }
    net::Runtime::Sleep(kLoadPollInterval);
  }
  return state;
}

void
SwitchOver::MarkServing(const schema::Profile& aProfile,
                        const std::string& aVersion)
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
  PublishServing(aServing);
}

void
SwitchOver::PublishServing(const ServingState& aServing)
{
  context_.node.UpdateStatus([&](schema::NodeStatus& aStatus) {
    aStatus.set_ready_profile(aServing.profile);
    aStatus.set_ready_revision(aServing.revision);
    aStatus.set_ready_version(aServing.version);
  });
}

} // namespace waxwingyoke::weights
