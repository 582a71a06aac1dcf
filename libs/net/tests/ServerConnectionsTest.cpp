#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>

#include <unistd.h>

#include <net/HttpServer.h>
#include <telemetry/Metrics.h>

#include "RawCaller.h"

using namespace waxwingyoke;
using namespace waxwingyoke::net;

namespace {

using utils::Millis;

const std::string kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kPostHead = "POST / HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 4\r\n\r\n";
// Long, because no test asserts how fast a condition is reached.
constexpr Millis kWaitTimeout(10000);

// A loopback address derived from the process id, so that tests that run in
// parallel do not collide; the port is below the ephemeral range.
Endpoint
MakeEndpoint()
{
  auto pid = static_cast<unsigned>(getpid());
  return { "127.78." + std::to_string(pid / 250 % 250) + "." +
             std::to_string(pid % 250 + 1),
           7303 };
}

void
RunServer(const HttpHandler& aHandler,
          const std::function<HttpLimits()>& aLimits,
          const std::function<void(HttpServer&)>& aTest)
{
  Runtime runtime(1);
  runtime.Run([&] {
    utils::Error reason;
    auto server = HttpServer::Builder(runtime)
                    .SetEndpoint(MakeEndpoint())
                    .SetHandler(aHandler)
                    .SetCurrentLimits(aLimits)
                    .SetWriteTimeout(Millis(500))
                    .Build(reason);
    REQUIRE_MESSAGE(server, reason.detail);
    aTest(*server);
    server->Close();
    return 0;
  });
}

HttpLimits
MakeLimits(Millis aIdle, Millis aHeader)
{
  HttpLimits limits;
  limits.idle = aIdle;
  limits.header = aHeader;
  limits.bodyBytes = 1000;
  return limits;
}

void
Echo(const HttpRequest& aRequest, ResponseWriter& aWriter)
{
  aWriter.Send(MakeJsonResponse(200, aRequest.body));
}

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  utils::Clock clock;
  auto end = clock.Now() + kWaitTimeout;
  while (clock.Now() < end) {
    if (aCondition()) {
      return true;
    }
    Runtime::Sleep(Millis(5));
  }
  return false;
}

/** Counts from its construction. */
class CounterDelta
{
public:
  explicit CounterDelta(const std::string& aName)
    : counter_(telemetry::Metrics::Get().GetCounter(aName))
    , before_(counter_.Get())
  {
  }
  std::uint64_t Get() const { return counter_.Get() - before_; }

private:
  telemetry::Counter& counter_;
  std::uint64_t before_;
};

bool
ReachesOne(const CounterDelta& aDelta)
{
  return WaitUntil([&aDelta] { return aDelta.Get() == 1; });
}

} // namespace

// Guards against connections that end on a request with no trace of why.
TEST_CASE("each end of a connection without an answer is counted by its cause")
{
  CounterDelta idle("http_closed_idle_total");
  CounterDelta late("http_requests_late_total");
  CounterDelta broken("http_broken_requests_total");
  CounterDelta unfinished("http_responses_unfinished_total");
  CounterDelta peer("http_closed_by_peer_total");
  auto limits = MakeLimits(Millis(100), Millis(100));
  auto handler = [](const HttpRequest& aRequest, ResponseWriter& aWriter) {
    aWriter.Start(200, {});
    if (aRequest.method == "POST") {
      WaitUntil([&aWriter] { return aWriter.IsPeerDisconnected(); });
    }
  };
  auto test = [&](HttpServer&) {
    RawCaller(MakeEndpoint()).ReadToEnd(kWaitTimeout);
    CHECK(ReachesOne(idle));
    RawCaller slow(MakeEndpoint());
    slow.Send("GET /");
    CHECK(ReachesOne(late));
    RawCaller wrong(MakeEndpoint());
    wrong.Send("no request\r\n\r\n");
    CHECK(ReachesOne(broken));
    RawCaller half(MakeEndpoint());
    half.Send(kGet);
    CHECK(ReachesOne(unfinished));
    auto leaving = std::make_unique<RawCaller>(MakeEndpoint());
    leaving->Send("GET /");
    Runtime::Sleep(Millis(20));
    leaving.reset();
    CHECK(ReachesOne(peer));
    leaving = std::make_unique<RawCaller>(MakeEndpoint());
    leaving->Send(kPostHead + "body");
    leaving->ReadBytes(1, kWaitTimeout);
    leaving.reset();
    CHECK(WaitUntil([&] { return peer.Get() == 2; }));
  };
  RunServer(
    handler, [&limits] { return limits; }, test);
  CHECK(late.Get() == 1);
  CHECK(idle.Get() == 1);
  CHECK(broken.Get() == 1);
  CHECK(unfinished.Get() == 1);
}

TEST_CASE("connections that a stopping server closes are counted")
{
  CounterDelta shutdown("http_closed_at_shutdown_total");
  auto limits = MakeLimits(Millis(60000), Millis(60000));
  auto test = [&](HttpServer& aServer) {
    RawCaller waiting(MakeEndpoint());
    waiting.Send(kGet);
    waiting.ReadBytes(1, kWaitTimeout);
    Runtime::Sleep(Millis(50));
    aServer.Close();
    CHECK(ReachesOne(shutdown));
  };
  RunServer(
    &Echo, [&limits] { return limits; }, test);
}
