#include "Role.h"

#include <atomic>

#include <net/HttpServer.h>
#include <requests/Entry.h>

namespace waxwingyoke::daemon {

namespace {

/** Takes callers' requests on the caller port. */
class EntryRole : public Role
{
public:
  explicit EntryRole(const Process& aProcess)
    : process_(aProcess)
    , entry_(aProcess.runtime,
             aProcess.settings,
             aProcess.node,
             aProcess.httpClient,
             aProcess.rpcClient,
             aProcess.log)
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
  const Process& process_;
  requests::Entry entry_;
  net::Router callerRouter_;
  std::unique_ptr<net::HttpServer> callerServer_;
  std::atomic<bool> draining_{ false };
};

bool
EntryRole::Start(utils::Error& aReason)
{
  const auto& settings = process_.settings;
  auto port = static_cast<std::uint16_t>(settings.entry().caller_port());
  callerServer_ = net::HttpServer::Builder(process_.runtime)
                    .SetEndpoint({ settings.node().address(), port })
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

// Unready first, and still serving while the balancer takes notice: a
// request that it sends in that time must not meet a closed port.
void
EntryRole::Drain()
{
  draining_ = true;
  net::Runtime::Sleep(
    utils::Millis(process_.settings.entry().drain_notice_ms()));
  callerServer_->Close();
  entry_.Drain();
}

} // namespace

std::unique_ptr<Role>
MakeEntryRole(const Process& aProcess)
{
  return std::make_unique<EntryRole>(aProcess);
}

} // namespace waxwingyoke::daemon
