#include "ControlPort.h"

#include <telemetry/Metrics.h>

namespace waxwingyoke::daemon {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// Allowance for the fields of an attempt beside the caller's body.
constexpr std::size_t kAttemptOverheadBytes = 64 * 1024;

net::HttpResponse
MakeTextResponse(int aStatus, std::string aText)
{
  net::HttpResponse response;
  response.status = aStatus;
  response.fields.Set("Content-Type", "text/plain");
  response.body = std::move(aText);
  return response;
}

} // namespace

ControlPort::ControlPort(const DaemonContext& aContext, Role& aRole)
  : context_(aContext)
  , role_(aRole)
{
  context_.node.AddMethods(rpcServer_);
  role_.AddMethods(rpcServer_);
  authenticatedRouter_.Add(
    "POST", rpc::kRpcPath, [this](const auto& aIn, auto& aOut) {
      rpcServer_.Handle(aIn, aOut);
    });
  role_.AddRoutes(authenticatedRouter_);
  AddRootRoutes();
}

void
ControlPort::AddRootRoutes()
{
  rootRouter_.Add("GET", "/healthz", [](const auto&, auto& aOut) {
    aOut.Send(MakeTextResponse(kOk, "ok\n"));
  });
  rootRouter_.Add("GET", "/readyz", [this](const auto&, auto& aOut) {
    bool ready = role_.IsReady();
    aOut.Send(ready ? MakeTextResponse(kOk, "ready\n")
                    : MakeTextResponse(kUnavailable, "not ready\n"));
  });
  rootRouter_.Add("GET", "/metrics", [](const auto&, auto& aOut) {
    aOut.Send(MakeTextResponse(kOk, telemetry::Metrics::Get().Show()));
  });
  rootRouter_.Add("*",
                  "/*",
                  net::RequireSecret(context_.settings.node().secret(),
                                     [this](const auto& aIn, auto& aOut) {
                                       authenticatedRouter_.Handle(aIn, aOut);
                                     }));
}

bool
ControlPort::Start(utils::Error& aReason)
{
  const auto& settings = context_.settings;
  auto port = static_cast<std::uint16_t>(settings.node().control_port());
  server_ = net::HttpServer::Builder(context_.runtime)
              .SetEndpoint({ settings.node().address(), port })
              .SetMemory(context_.requestMemory)
              .SetMaxBodyBytes(settings.entry().max_body_bytes() +
                               kAttemptOverheadBytes)
              .SetHandler([this](const auto& aRequest, auto& aWriter) {
                rootRouter_.Handle(aRequest, aWriter);
              })
              .Build(aReason);
  return server_ != nullptr;
}

void
ControlPort::Close()
{
  server_->Close();
}

} // namespace waxwingyoke::daemon
