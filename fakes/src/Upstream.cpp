#include "Upstream.h"

#include <utility>

#include <net/Runtime.h>
#include <telemetry/Logger.h>
#include <utils/Hash.h>

namespace waxwingyoke::fakes {

Upstream::Upstream(net::Runtime& aRuntime,
                   net::Endpoint aEndpoint,
                   FaultInjector& aFaultInjector)
  : runtime_(aRuntime)
  , endpoint_(std::move(aEndpoint))
  , faultInjector_(aFaultInjector)
  , incarnation_(utils::MakeUniqueId())
{
  faultInjector_.AddRoutes(router_);
}

void
Upstream::OnRestart(std::function<void()> aHook)
{
  restartHook_ = std::move(aHook);
}

bool
Upstream::Start(utils::Error& aReason)
{
  server_ = net::HttpServer::Builder(runtime_)
              .SetEndpoint(endpoint_)
              .SetHandler([this](const auto& aRequest, auto& aWriter) {
                auto incarnation = incarnation_;
                router_.Handle(aRequest, aWriter);
                if (incarnation != incarnation_ && !aWriter.IsStarted()) {
                  // An answer that is started but not finished makes the
                  // server close the connection.
                  constexpr int kOk = 200;
                  aWriter.Start(kOk, {});
                }
              })
              .Build(aReason);
  return server_ != nullptr;
}

bool
Upstream::CrashIfMarked(const std::string& aBody)
{
  const auto& faults = faultInjector_.GetFaults().crash();
  auto marker =
    faults.marker().empty() ? "crash-the-upstream" : faults.marker();
  if (aBody.find(marker) == std::string::npos) {
    return false;
  }
  Crash();
  return true;
}

void
Upstream::Crash()
{
  constexpr utils::Millis kDefaultRestart(1000);
  constexpr utils::Millis kBindRetryInterval(50);
  auto& counters = faultInjector_.GetCounters();
  counters.set_crashes(counters.crashes() + 1);
  incarnation_ = utils::MakeUniqueId();
  server_->Close();
  if (restartHook_) {
    restartHook_();
  }
  auto after = faultInjector_.GetFaults().crash().restart_ms();
  auto pause = after == 0 ? kDefaultRestart : utils::Millis(after);
  net::Runtime::SpawnHere([this, pause, kBindRetryInterval] {
    net::Runtime::Sleep(pause);
    utils::Error reason;
    while (!Start(reason)) {
      telemetry::Logger("fakes").Report(reason);
      net::Runtime::Sleep(kBindRetryInterval);
    }
  });
}

} // namespace waxwingyoke::fakes
