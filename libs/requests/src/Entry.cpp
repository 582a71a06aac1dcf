#include <requests/Entry.h>

#include <array>

#include "EntryImpl.h"

namespace waxwingyoke::requests {

namespace {

constexpr utils::Millis kDrainPoll(20);
constexpr utils::Millis kReadyGrace(5000);
constexpr std::array<const char*, 5> kServiceMethods{ "GET",
                                                      "POST",
                                                      "PUT",
                                                      "PATCH",
                                                      "DELETE" };

} // namespace

Entry::Entry(net::Runtime&,
             const schema::DaemonSettings& aSettings,
             membership::Node& aNode,
             net::HttpClient& aClient,
             rpc::RpcClient& aRpc,
             platform::LogClient& aLog)
  : impl_(std::make_shared<Impl>(aSettings, aNode, aClient, aRpc, aLog))
{
  aNode.OnView(
    [impl = impl_](const auto& aView) { impl->RebuildRoutes(*aView); });
}

Entry::~Entry() = default;

void
Entry::AddRoutes(net::Router& aRouter)
{
  using net::HttpRequest;
  using net::ResponseWriter;
  aRouter.Add(
    "POST",
    "/v1/chat/completions",
    [impl = impl_](const HttpRequest& aRequest, ResponseWriter& aOut) {
      impl->HandleChat(aRequest, aOut);
    });
  aRouter.Add("GET",
              "/v1/models",
              [impl = impl_](const HttpRequest&, ResponseWriter& aOut) {
                impl->HandleModels(aOut);
              });
  for (const char* method : kServiceMethods) {
    aRouter.Add(
      method,
      "/services/*",
      [impl = impl_](const HttpRequest& aRequest, ResponseWriter& aOut) {
        impl->HandleService(aRequest, aOut);
      });
  }
}

void
Entry::AddMethods(rpc::RpcServer& aServer)
{
  using schema::Acknowledgement;
  using schema::StrikeNotice;
  aServer.Add<StrikeNotice, Acknowledgement>(
    "entry.strike",
    [impl =
       impl_](const StrikeNotice& aNotice, Acknowledgement&, utils::Error&) {
      impl->strikes.HandleNotice(aNotice);
      return true;
    });
  using schema::ClaimReply;
  using schema::ClaimRequest;
  aServer.Add<ClaimRequest, ClaimReply>(
    "entry.claim",
    [impl = impl_](
      const ClaimRequest& aRequest, ClaimReply& aReply, utils::Error& aReason) {
      return impl->claims.HandleClaim(aRequest, aReply, aReason);
    });
}

void
Entry::Start()
{
}

bool
Entry::IsReady() const
{
  // After the grace period the entry is ready without all routes: a deployment
  // may have no profiles, or a profile that no side serves yet.
  bool graceExpired = impl_->clock.Now() > impl_->startedAt + kReadyGrace;
  return !impl_->draining && impl_->node.GetView()->config->nextOffset > 0 &&
         (impl_->hasAllRoutes || graceExpired);
}

void
Entry::Drain()
{
  impl_->draining = true;
  impl_->closed = true;
  while (impl_->active > 0) {
    net::Runtime::Sleep(kDrainPoll);
  }
}

} // namespace waxwingyoke::requests
