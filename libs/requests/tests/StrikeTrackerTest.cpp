#include <doctest/doctest.h>

#include <memory>
#include <string>

#include <unistd.h>

#include <net/HttpServer.h>
#include <net/Runtime.h>
#include <schema/Json.h>

#include "StrikeTracker.h"

using namespace waxwingyoke;
using namespace waxwingyoke::requests;
using utils::Millis;

namespace {

net::Endpoint
MakeEndpoint()
{
  auto pid = static_cast<unsigned>(getpid());
  return { "127.85." + std::to_string(pid / 250 % 250) + "." +
             std::to_string(pid % 250 + 1),
           7307 };
}

/** A log that refuses appends until it is available. */
class UnavailableLog
{
public:
  explicit UnavailableLog(net::Runtime& aRuntime)
  {
    utils::Error reason;
    server_ =
      net::HttpServer::Builder(aRuntime)
        .SetEndpoint(MakeEndpoint())
        .SetHandler([this](const auto&, auto& aWriter) { Answer(aWriter); })
        .Build(reason);
    REQUIRE(server_);
  }

  /** Waits for that many further appends. */
  void AwaitAppends(int aCount) const
  {
    constexpr Millis kPoll(10);
    for (auto until = appends_ + aCount; appends_ < until;) {
      net::Runtime::Sleep(kPoll);
    }
  }

  void SetAvailable() { available_ = true; }

private:
  void Answer(net::ResponseWriter& aWriter)
  {
    constexpr int kOk = 200;
    constexpr int kUnavailable = 503;
    ++appends_;
    net::HttpResponse response;
    response.status = available_ ? kOk : kUnavailable;
    response.body = schema::ToJson(schema::AppendReply());
    aWriter.Send(response);
  }

  int appends_ = 0;
  bool available_ = false;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace

// Guards against a request that crashes further upstreams during an outage of
// the log, because its conviction expired before the quarantine record could be
// appended.
TEST_CASE("a conviction holds until the log has its quarantine record")
{
  net::Runtime runtime(1);
  runtime.Run([&] {
    constexpr Millis kStep(20000);
    constexpr int kSteps = 3;
    schema::DaemonSettings settings;
    settings.mutable_node()->set_vm("vm");
    net::HttpClient client;
    rpc::RpcClient rpc(client, "secret");
    platform::LogClient log(client, MakeEndpoint());
    platform::VmListClient vmList(client, MakeEndpoint());
    membership::Node node(runtime, settings, "incarnation", log, vmList, rpc);
    Millis now(1000);
    StrikeTracker strikes(node, rpc, log, utils::Clock([&] { return now; }));
    UnavailableLog unavailable(runtime);
    strikes.Report("digest", schema::CONVICTED);
    unavailable.AwaitAppends(1);
    for (int step = 0; step < kSteps; ++step) {
      now = now + kStep;
      CHECK(strikes.Find("digest") == Suspicion::Convicted);
      // The first of them may have been under way.
      unavailable.AwaitAppends(2);
    }
    unavailable.SetAvailable();
    unavailable.AwaitAppends(1);
    // Once the record is in the log, the conviction is not renewed.
    net::Runtime::Sleep(Millis(100));
    now = now + kStep + kStep;
    CHECK(strikes.Find("digest") == Suspicion::None);
    return 0;
  });
}
