#include "ServiceProbe.h"

#include <memory>

#include <net/Endpoint.h>

namespace waxwingyoke::daemon {

namespace {

constexpr utils::Millis kProbeInterval(500);

} // namespace

ServiceProbe::ServiceProbe(const DaemonContext& aContext)
  : context_(aContext)
{
}

void
ServiceProbe::Start()
{
  context_.runtime.Spawn([this] { ProbeLoop(); });
}

void
ServiceProbe::ProbeLoop()
{
  while (true) {
    auto serving = IsAnswering() ? GetAssignedProfile() : requests::Serving();
    auto published = serving_.Get();
    if (serving.profile != published->profile ||
        serving.revision != published->revision) {
      Publish(serving);
    }
    net::Runtime::Sleep(kProbeInterval);
  }
}

// Any HTTP status counts as an answer: a service need not provide /healthz.
bool
ServiceProbe::IsAnswering()
{
  auto upstream = net::Endpoint::Parse(context_.settings.side().upstream());
  if (!upstream) {
    return false;
  }
  net::HttpRequest request;
  request.target = "/healthz";
  utils::Error reason;
  return context_.httpClient.Call(*upstream, request, {}, reason).has_value();
}

requests::Serving
ServiceProbe::GetAssignedProfile()
{
  auto view = context_.node.GetView();
  const auto* member = view->FindMember(context_.settings.node().vm());
  const auto* profile =
    member == nullptr ? nullptr : view->config->FindProfileOf(member->vm);
  if (profile == nullptr) {
    return {};
  }
  return { profile->name(), profile->revision(), profile->version() };
}

void
ServiceProbe::Publish(const requests::Serving& aServing)
{
  serving_.Set(std::make_shared<const requests::Serving>(aServing));
  context_.node.UpdateStatus([&aServing](schema::NodeStatus& aStatus) {
    aStatus.set_ready_profile(aServing.profile);
    aStatus.set_ready_revision(aServing.revision);
    aStatus.set_ready_version(aServing.version);
  });
}

} // namespace waxwingyoke::daemon
