#include "EntryImpl.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include <google/protobuf/struct.pb.h>

#include <schema/Json.h>
#include <telemetry/Metrics.h>
#include <telemetry/Span.h>

#include "RequestRun.h"
#include "TimedWriter.h"

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;

constexpr int kOk = 200;

} // namespace

Entry::Impl::Impl(const schema::DaemonSettings& aSettings,
                  membership::Node& aNode,
                  net::HttpClient& aClient,
                  rpc::RpcClient& aRpc,
                  platform::LogClient& aLog)
  : node(aNode)
  , client(aClient)
  , rpc(aRpc)
  , log(aLog)
  , defaultTimeout(aSettings.entry().default_deadline_ms())
  , policy(routing::ParsePolicy(aSettings.entry().routing()))
  , budget(aSettings.entry().retry_budget_percent())
  , call(aClient, aRpc, aSettings.node().secret())
  , strikes(aNode, aRpc, aLog)
  , claims(aNode, aRpc, aLog)
{
}

void
Entry::Impl::RebuildRoutes(const membership::View& aView)
{
  std::scoped_lock lock(routesMutex);
  routes.Set(routesBuilder.Build(aView));
  hasAllRoutes = hasAllRoutes || HasAllRoutes(aView);
}

// A new entry receives profiles, members and what the members serve one after
// the other. The load balancer must not send requests before the entry has all
// of them.
bool
Entry::Impl::HasAllRoutes(const membership::View& aView) const
{
  auto table = routes.Get();
  return aView.config->nextOffset > 0 && !aView.members.empty() &&
         std::ranges::all_of(aView.config->profiles,
                             [&table](const auto& aProfile) {
                               return !table->Find(aProfile.first).empty();
                             });
}

bool
Entry::Impl::CheckRequest(const CallerRequest& aRequest,
                          schema::Profile& aProfile,
                          utils::Error& aReason)
{
  auto config = node.GetView()->config;
  const auto* profile = config->FindProfile(aRequest.profile);
  if (!profile && config->nextOffset == 0) {
    aReason.Set(ErrorKind::NoUpstream,
                "this entry has not received any profiles yet");
    return false;
  }
  if (!profile) {
    aReason.Set(ErrorKind::UnknownProfile,
                "there is no profile named " + aRequest.profile);
    return false;
  }
  if (!IsAllowed(profile->requests(), aRequest.organisation)) {
    aReason.Set(ErrorKind::NotAllowed,
                "the profile does not allow the organisation");
    return false;
  }
  if (config->quarantine.contains(aRequest.digest) ||
      strikes.Find(aRequest.digest) == Suspicion::Convicted) {
    aReason.Set(ErrorKind::Quarantined,
                "upstreams crashed while running this request");
    return false;
  }
  aProfile = *profile;
  return true;
}

void
Entry::Impl::HandleChat(const net::HttpRequest& aRequest,
                        net::ResponseWriter& aWriter)
{
  utils::Error reason;
  auto request = ReadChatRequest(aRequest, defaultTimeout, reason);
  if (!request) {
    aWriter.Send(net::MakeErrorResponse(reason));
    return;
  }
  Serve(*request, aWriter);
}

void
Entry::Impl::HandleService(const net::HttpRequest& aRequest,
                           net::ResponseWriter& aWriter)
{
  utils::Error reason;
  auto request = ReadServiceRequest(aRequest, defaultTimeout, reason);
  if (!request) {
    aWriter.Send(net::MakeErrorResponse(reason));
    return;
  }
  Serve(*request, aWriter);
}

void
Entry::Impl::HandleModels(net::ResponseWriter& aWriter)
{
  google::protobuf::Struct body;
  auto& fields = *body.mutable_fields();
  fields["object"].set_string_value("list");
  auto* list = fields["data"].mutable_list_value();
  auto config = node.GetView()->config;
  for (const auto& [name, profile] : config->profiles) {
    auto& model = *list->add_values()->mutable_struct_value()->mutable_fields();
    model["id"].set_string_value(name);
    model["object"].set_string_value("model");
  }
  aWriter.Send(net::MakeJsonResponse(kOk, schema::ToJson(body)));
}

void
Entry::Impl::Serve(const CallerRequest& aRequest, net::ResponseWriter& aWriter)
{
  static auto& sRequests =
    telemetry::Metrics::Get().GetCounter("entry_requests_total");
  sRequests.Add();
  // Incremented before closed is read, so that Drain waits for every request
  // that passes the check.
  ++active;
  if (closed) {
    utils::Error reason;
    reason.Set(ErrorKind::Leaving, "this entry is shutting down");
    aWriter.Send(net::MakeErrorResponse(reason));
  } else {
    telemetry::Span span("entry.request", aRequest.traceparent);
    span.Set("profile", aRequest.profile);
    TimedWriter timed(aWriter);
    RequestRun(*this, aRequest, span.GetTraceparent(), timed).Run();
  }
  --active;
}

} // namespace waxwingyoke::requests
