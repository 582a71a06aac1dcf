#include "Role.h"

#include <algorithm>

#include <net/HttpServer.h>
#include <requests/Side.h>
#include <weights/Replicator.h>

#include "ServiceProbe.h"

namespace waxwingyoke::daemon {

namespace {

// Time in which entries learn that a side leaves. Until then they send it
// requests, which it must be there to refuse as not run: a closed port leaves
// open whether they ran.
constexpr utils::Millis kLeaveNotice(2000);

void
DrainSide(requests::Side& aSide)
{
  utils::Clock clock;
  auto noticed = clock.Now() + kLeaveNotice;
  aSide.Drain();
  net::Runtime::Sleep(std::max(noticed - clock.Now(), utils::Millis(0)));
}

/** Admits requests to the plain service beside it. */
class ServiceSideRole : public Role
{
public:
  explicit ServiceSideRole(const Process& aProcess)
    : probe_(aProcess)
    , side_(aProcess.runtime,
            aProcess.settings,
            aProcess.node,
            aProcess.httpClient,
            [this] { return probe_.GetServing(); })
  {
  }

  void AddRoutes(net::Router& aRouter) override { side_.AddRoutes(aRouter); }
  void AddMethods(rpc::RpcServer& aServer) override
  {
    side_.AddMethods(aServer);
  }
  bool Start(utils::Error&) override
  {
    probe_.Start();
    side_.Start();
    return true;
  }
  bool IsReady() const override { return true; }
  void Drain() override { DrainSide(side_); }

private:
  ServiceProbe probe_;
  requests::Side side_;
};

/** Brings weights to the model engine beside it and admits requests. */
class EngineSideRole : public Role
{
public:
  explicit EngineSideRole(const Process& aProcess)
    : process_(aProcess)
    , side_(aProcess.runtime,
            aProcess.settings,
            aProcess.node,
            aProcess.httpClient,
            [this] { return GetServing(); })
    , replicator_(aProcess.runtime,
                  aProcess.settings,
                  aProcess.node,
                  aProcess.log,
                  aProcess.httpClient,
                  aProcess.rpcClient,
                  MakeHooks())
  {
    replicator_.AddEngineRoutes(engineRouter_);
    // Live answers come first: chunks get what they leave of the link.
    side_.OnLiveBytes(
      [this](std::size_t aBytes) { replicator_.ChargeLiveTraffic(aBytes); });
  }

  void AddRoutes(net::Router& aRouter) override
  {
    side_.AddRoutes(aRouter);
    replicator_.AddRoutes(aRouter);
  }
  void AddMethods(rpc::RpcServer& aServer) override
  {
    side_.AddMethods(aServer);
    replicator_.AddMethods(aServer);
  }
  bool Start(utils::Error& aReason) override;
  bool IsReady() const override { return true; }
  void Drain() override { DrainSide(side_); }

private:
  weights::Replicator::Hooks MakeHooks();
  requests::Serving GetServing() const;

  const Process& process_;
  requests::Side side_;
  weights::Replicator replicator_;
  net::Router engineRouter_;
  std::unique_ptr<net::HttpServer> engineServer_;
};

weights::Replicator::Hooks
EngineSideRole::MakeHooks()
{
  weights::Replicator::Hooks hooks;
  hooks.pause = [this] { side_.Pause(); };
  hooks.waitIdle = [this](utils::Millis aTime) {
    return side_.WaitIdle(aTime);
  };
  hooks.resume = [this] { side_.Resume(); };
  return hooks;
}

requests::Serving
EngineSideRole::GetServing() const
{
  auto serving = replicator_.GetServing();
  return { serving.profile, serving.revision, serving.version };
}

bool
EngineSideRole::Start(utils::Error& aReason)
{
  const auto& settings = process_.settings;
  auto port = static_cast<std::uint16_t>(settings.side().engine_port());
  engineServer_ = net::HttpServer::Builder(process_.runtime)
                    .SetEndpoint({ settings.node().address(), port })
                    .SetHandler([this](const auto& aRequest, auto& aWriter) {
                      engineRouter_.Handle(aRequest, aWriter);
                    })
                    .Build(aReason);
  if (!engineServer_) {
    return false;
  }
  side_.Start();
  replicator_.Start();
  return true;
}

} // namespace

std::unique_ptr<Role>
MakeSideRole(const Process& aProcess)
{
  if (aProcess.settings.side().kind() == "service") {
    return std::make_unique<ServiceSideRole>(aProcess);
  }
  return std::make_unique<EngineSideRole>(aProcess);
}

} // namespace waxwingyoke::daemon
