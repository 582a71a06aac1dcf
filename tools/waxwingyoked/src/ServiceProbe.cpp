#include "ServiceProbe.h"

#include <memory>

#include <net/Endpoint.h>

namespace waxwingyoke::daemon {

namespace {

constexpr utils::Millis kInterval(500);

} // namespace

ServiceProbe::ServiceProbe(const Process& aProcess)
  : process_(aProcess)
{
}

void
ServiceProbe::Start()
{
  process_.runtime.Spawn([this] { Loop(); });
}

void
ServiceProbe::Loop()
{
  while (true) {
    auto serving = IsAnswering() ? FindServing() : requests::Serving();
    auto before = serving_.Get();
    if (serving.profile != before->profile ||
        serving.revision != before->revision) {
      Publish(serving);
    }
    net::Runtime::Sleep(kInterval);
  }
}

// Any answer will do: which paths a service has is its own affair.
bool
ServiceProbe::IsAnswering()
{
  auto upstream = net::Endpoint::Parse(process_.settings.side().upstream());
  if (!upstream) {
    return false;
  }
  net::HttpRequest request;
  request.target = "/healthz";
  utils::Error reason;
  return process_.httpClient.Call(*upstream, request, {}, reason).has_value();
}

requests::Serving
ServiceProbe::FindServing()
{
  auto view = process_.node.GetView();
  const auto* member = view->FindMember(process_.settings.node().vm());
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
  process_.node.UpdateStatus([&aServing](schema::NodeStatus& aStatus) {
    aStatus.set_ready_profile(aServing.profile);
    aStatus.set_ready_revision(aServing.revision);
    aStatus.set_ready_version(aServing.version);
  });
}

} // namespace waxwingyoke::daemon
