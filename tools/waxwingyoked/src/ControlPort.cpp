#include "ControlPort.h"

#include <telemetry/Metrics.h>

namespace waxwingyoke::daemon {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// An attempt carries a caller's body and some fields around it.
constexpr std::size_t kRoomAroundBody = 64 * 1024;

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

ControlPort::ControlPort(const Process& aProcess, Role& aRole)
  : process_(aProcess)
  , role_(aRole)
{
  process_.node.AddMethods(rpcServer_);
  role_.AddMethods(rpcServer_);
  inner_.Add("POST", rpc::kRpcPath, [this](const auto& aIn, auto& aOut) {
    rpcServer_.Handle(aIn, aOut);
  });
  role_.AddRoutes(inner_);
  AddOpenRoutes();
}

void
ControlPort::AddOpenRoutes()
{
  outer_.Add("GET", "/healthz", [](const auto&, auto& aOut) {
    aOut.Send(MakeTextResponse(kOk, "ok\n"));
  });
  outer_.Add("GET", "/readyz", [this](const auto&, auto& aOut) {
    bool ready = role_.IsReady();
    aOut.Send(ready ? MakeTextResponse(kOk, "ready\n")
                    : MakeTextResponse(kUnavailable, "not ready\n"));
  });
  outer_.Add("GET", "/metrics", [](const auto&, auto& aOut) {
    aOut.Send(MakeTextResponse(kOk, telemetry::Metrics::Get().Show()));
  });
  outer_.Add("*",
             "/*",
             net::RequireSecret(process_.settings.node().secret(),
                                [this](const auto& aIn, auto& aOut) {
                                  inner_.Handle(aIn, aOut);
                                }));
}

bool
ControlPort::Start(utils::Error& aReason)
{
  const auto& settings = process_.settings;
  auto port = static_cast<std::uint16_t>(settings.node().control_port());
  server_ =
    net::HttpServer::Builder(process_.runtime)
      .SetEndpoint({ settings.node().address(), port })
      .SetMaxBodyBytes(settings.entry().max_body_bytes() + kRoomAroundBody)
      .SetHandler([this](const auto& aRequest, auto& aWriter) {
        outer_.Handle(aRequest, aWriter);
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
