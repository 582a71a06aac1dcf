#include "Role.h"

#include <atomic>

#include <net/HttpServer.h>
#include <requests/Entry.h>

namespace waxwingyoke::daemon {

namespace {

/** Runs the entry, the ingress proxy that accepts callers' requests. */
class EntryRole : public Role
{
public:
  explicit EntryRole(const DaemonContext& aContext)
    : context_(aContext)
    , entry_(aContext.runtime,
             aContext.settings,
             aContext.node,
             aContext.httpClient,
             aContext.rpcClient,
             aContext.log)
  {
    entry_.AddRoutes(callerRouter_);
  }

  void AddRoutes(net::Router&) override {}
  void AddMethods(rpc::RpcServer& aServer) override
  {
    entry_.AddMethods(aServer);
  }
  bool Start(utils::Error& aReason) override;
  bool IsReady() const override { return !draining_ && entry_.IsReady(); }
  void Drain() override;

private:
  const DaemonContext& context_;
  requests::Entry entry_;
  net::Router callerRouter_;
  std::unique_ptr<net::HttpServer> callerServer_;
  std::atomic<bool> draining_{ false };
};

bool
EntryRole::Start(utils::Error& aReason)
{
  const auto& settings = context_.settings;
  auto port = static_cast<std::uint16_t>(settings.entry().caller_port());
  callerServer_ = net::HttpServer::Builder(context_.runtime)
                    .SetEndpoint({ settings.node().address(), port })
                    .SetMemory(context_.requestMemory)
                    .SetMaxBodyBytes(settings.entry().max_body_bytes())
                    .SetHandler([this](const auto& aRequest, auto& aWriter) {
                      callerRouter_.Handle(aRequest, aWriter);
                    })
                    .Build(aReason);
  if (!callerServer_) {
    return false;
  }
  entry_.Start();
  return true;
}

// Reports the entry as not ready, then keeps the caller port open for
// drain_notice_ms: the load balancer sends requests until it detects the
// change, and their connections must not be refused.
void
EntryRole::Drain()
{
  draining_ = true;
  net::Runtime::Sleep(
    utils::Millis(context_.settings.entry().drain_notice_ms()));
  callerServer_->Close();
  entry_.Drain();
}

} // namespace

std::unique_ptr<Role>
MakeEntryRole(const DaemonContext& aContext)
{
  return std::make_unique<EntryRole>(aContext);
}

} // namespace waxwingyoke::daemon
