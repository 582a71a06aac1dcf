#include "Role.h"

#include <algorithm>

#include <net/HttpServer.h>
#include <requests/Side.h>
#include <weights/Replicator.h>

#include "ServiceProbe.h"

namespace waxwingyoke::daemon {

namespace {

// Time for all entries to receive the notice that a side leaves. Until
// then they still send it requests, which it has to refuse as not run: a closed
// port would leave it unknown whether they ran.
constexpr utils::Millis kLeaveNoticeTime(2000);

void
DrainSide(requests::Side& aSide)
{
  utils::Clock clock;
  auto noticeEnd = clock.Now() + kLeaveNoticeTime;
  aSide.Drain();
  net::Runtime::Sleep(std::max(noticeEnd - clock.Now(), utils::Millis(0)));
}

/** Runs the side beside a plain service: admits requests to it. */
class ServiceSideRole : public Role
{
public:
  explicit ServiceSideRole(const DaemonContext& aContext)
    : probe_(aContext)
    , side_(aContext.runtime,
            aContext.settings,
            aContext.node,
            aContext.httpClient,
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

/** Runs the side beside a model engine: loads weights, admits requests. */
class EngineSideRole : public Role
{
public:
  explicit EngineSideRole(const DaemonContext& aContext)
    : context_(aContext)
    , side_(aContext.runtime,
            aContext.settings,
            aContext.node,
            aContext.httpClient,
            [this] { return GetServing(); })
    , replicator_(aContext.runtime,
                  aContext.settings,
                  aContext.node,
                  aContext.log,
                  aContext.httpClient,
                  aContext.rpcClient,
                  MakeHooks())
  {
    replicator_.AddEngineRoutes(engineRouter_);
    // Requests have priority on the link: chunk transfers are limited to the
    // bandwidth that they leave.
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

  const DaemonContext& context_;
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
  const auto& settings = context_.settings;
  auto port = static_cast<std::uint16_t>(settings.side().engine_port());
  engineServer_ = net::HttpServer::Builder(context_.runtime)
                    .SetEndpoint({ settings.node().address(), port })
                    .SetMemory(context_.requestMemory)
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
MakeSideRole(const DaemonContext& aContext)
{
  if (aContext.settings.side().kind() == "service") {
    return std::make_unique<ServiceSideRole>(aContext);
  }
  return std::make_unique<EngineSideRole>(aContext);
}

} // namespace waxwingyoke::daemon
