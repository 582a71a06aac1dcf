#include <requests/Side.h>

#include <utility>

#include "SideImpl.h"

namespace waxwingyoke::requests {

namespace {

constexpr utils::Millis kDrainPollInterval(1000);
constexpr utils::Millis kDeliveryPollInterval(10);
constexpr utils::Millis kIncarnationPollInterval(1000);

} // namespace

Side::Side(net::Runtime&,
           const schema::DaemonSettings& aSettings,
           membership::Node& aNode,
           net::HttpClient& aClient,
           ServingHook aServing)
  : impl_(
      std::make_shared<Impl>(aSettings, aNode, aClient, std::move(aServing)))
{
}

Side::~Side() = default;

void
Side::OnLiveBytes(BytesHook aHook)
{
  impl_->onLiveBytes = std::move(aHook);
}

void
Side::AddRoutes(net::Router& aRouter)
{
  using net::HttpRequest;
  using net::ResponseWriter;
  aRouter.Add(
    "POST",
    "/attempts",
    [impl = impl_](const HttpRequest& aRequest, ResponseWriter& aOut) {
      impl->HandleAttempt(aRequest, aOut);
    });
  aRouter.Add(
    "POST",
    "/attempts/attach",
    [impl = impl_](const HttpRequest& aRequest, ResponseWriter& aOut) {
      impl->HandleAttach(aRequest, aOut);
    });
}

void
Side::AddMethods(rpc::RpcServer& aServer)
{
  using schema::AskReply;
  using schema::AskRequest;
  aServer.Add<AskRequest, AskReply>("attempt.ask",
                                    [impl = impl_](const AskRequest& aRequest,
                                                   AskReply& aReply,
                                                   utils::Error&) {
                                      return impl->HandleAsk(aRequest, aReply);
                                    });
  aServer.Add<AskRequest, AskReply>("attempt.bar",
                                    [impl = impl_](const AskRequest& aRequest,
                                                   AskReply& aReply,
                                                   utils::Error&) {
                                      return impl->HandleBar(aRequest, aReply);
                                    });
}

void
Side::Start()
{
  net::Runtime::SpawnHere([impl = impl_] {
    while (true) {
      impl->upstreamClient.PollIncarnation();
      net::Runtime::Sleep(kIncarnationPollInterval);
    }
  });
}

void
Side::Pause()
{
  impl_->gate.Pause();
}

void
Side::Resume()
{
  impl_->gate.Resume();
}

bool
Side::WaitIdle(utils::Millis aTimeout)
{
  return impl_->gate.WaitIdle(aTimeout);
}

void
Side::Drain()
{
  impl_->gate.Close();
  while (!impl_->gate.WaitIdle(kDrainPollInterval)) {
  }
  while (impl_->deliveries > 0) {
    net::Runtime::Sleep(kDeliveryPollInterval);
  }
}

} // namespace waxwingyoke::requests
