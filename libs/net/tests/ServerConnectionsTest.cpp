#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include <net/HttpServer.h>
#include <telemetry/Metrics.h>

#include "Beast.h"
#include "ConnectionEnds.h"
#include "RawCaller.h"
#include "RuntimeImpl.h"

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

// Guards against a close on a request that leaves no trace of whether any of
// its bytes had arrived.
TEST_CASE("connections that are closed with unread bytes are counted")
{
  CounterDelta unread("http_closed_unread_total");
  CounterDelta shutdown("http_closed_at_shutdown_total");
  CounterDelta idle("http_closed_idle_total");
  EndedRequest none;
  EndedRequest some;
  some.unreadBytes = 3;
  RecordEnd(ConnectionEnd::Shutdown, none);
  RecordEnd(ConnectionEnd::IdleLimit, none);
  CHECK(unread.Get() == 0);
  RecordEnd(ConnectionEnd::Shutdown, some);
  RecordEnd(ConnectionEnd::IdleLimit, some);
  CHECK(unread.Get() == 2);
  CHECK(shutdown.Get() == 2);
  CHECK(idle.Get() == 2);
}

// Guards against a caller that sends too slowly and gets no answer at all: the
// timer closed the socket to which the refusal was then written.
TEST_CASE("a request that does not arrive in time is refused with 408")
{
  auto limits = MakeLimits(Millis(60000), Millis(100));
  for (const auto& part : { std::string("GET / HT"), kPostHead + "bo" }) {
    CAPTURE(part);
    auto test = [&](HttpServer&) {
      RawCaller caller(MakeEndpoint());
      caller.Send(part);
      auto answer = caller.ReadToEnd(kWaitTimeout);
      CHECK(answer.starts_with("HTTP/1.1 408 "));
      CHECK(answer.find("Connection: close") != std::string::npos);
      CHECK_FALSE(caller.IsReset());
    };
    RunServer(
      &Echo, [&limits] { return limits; }, test);
  }
}

// Guards against the close of a connection whose request has arrived while the
// process was not running: its timers are due by then too.
TEST_CASE("a request that arrived during a stall past a limit is answered")
{
  auto limits = MakeLimits(Millis(100), Millis(100));
  auto test = [&](HttpServer&) {
    RawCaller idle(MakeEndpoint());
    RawCaller header(MakeEndpoint());
    RawCaller body(MakeEndpoint());
    header.Send("POST / HT");
    body.Send(kPostHead + "bo");
    Runtime::Sleep(Millis(30));
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    idle.Send(kPostHead + "body");
    header.Send("TP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
    body.Send("dy");
    for (auto* caller : { &idle, &header, &body }) {
      auto answer = caller->ReadToEnd();
      CHECK(answer.starts_with("HTTP/1.1 200 "));
      CHECK(answer.ends_with("body"));
    }
  };
  RunServer(
    &Echo, [&limits] { return limits; }, test);
}

// Guards against the close of a connection under a request: its bytes arrived
// just before the idle timer's handler ran, which closed the socket.
TEST_CASE("a request that arrives as the idle limit ends is answered")
{
  constexpr Millis kIdle(200);
  auto limits = MakeLimits(kIdle, Millis(60000));
  auto test = [&](HttpServer&) {
    RawCaller caller(MakeEndpoint());
    // Timers that are due at once run in their order: the request is sent
    // between the timer queue's check and the idle timer's handler.
    asio::steady_timer timer(GetThreadIo(), (kIdle - Millis(50)).ToChrono());
    timer.async_wait([&caller](auto) { caller.Send(kPostHead + "body"); });
    Runtime::Sleep(Millis(50));
    std::this_thread::sleep_for((kIdle * 2).ToChrono());
    CHECK(caller.ReadToEnd().ends_with("body"));
  };
  RunServer(
    &Echo, [&limits] { return limits; }, test);
}

// Guards against a close by a limit that is no longer in force: callers use
// connections that were idle for most of the present limit.
TEST_CASE("a longer limit holds for connections that already wait")
{
  auto limits = MakeLimits(Millis(150), Millis(150));
  auto test = [&](HttpServer&) {
    RawCaller idle(MakeEndpoint());
    RawCaller header(MakeEndpoint());
    RawCaller body(MakeEndpoint());
    header.Send("POST / HT");
    body.Send(kPostHead + "bo");
    Runtime::Sleep(Millis(30));
    limits = MakeLimits(Millis(60000), Millis(60000));
    Runtime::Sleep(Millis(300));
    idle.Send(kPostHead + "body");
    header.Send("TP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
    body.Send("dy");
    for (auto* caller : { &idle, &header, &body }) {
      CHECK(caller->ReadBytes(15, kWaitTimeout).starts_with("HTTP/1.1 200 "));
    }
  };
  RunServer(
    &Echo, [&limits] { return limits; }, test);
}

// Guards against limits from before a connection's wait for its next request:
// the request is sent under those in force at its start.
TEST_CASE("a request is read under the limits in force when it begins")
{
  auto limits = MakeLimits(Millis(60000), Millis(100));
  auto test = [&](HttpServer&) {
    RawCaller slow(MakeEndpoint());
    RawCaller large(MakeEndpoint());
    Runtime::Sleep(Millis(30));
    limits = MakeLimits(Millis(60000), Millis(60000));
    limits.bodyBytes = 100000;
    slow.Send("POST / HT");
    large.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" +
               std::string(5000, 'x'));
    CHECK(large.ReadBytes(15, kWaitTimeout).starts_with("HTTP/1.1 200 "));
    Runtime::Sleep(Millis(300));
    slow.Send("TP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
    CHECK(slow.ReadBytes(15, kWaitTimeout).starts_with("HTTP/1.1 200 "));
  };
  RunServer(
    &Echo, [&limits] { return limits; }, test);
}

TEST_CASE("a shorter limit closes no connection under a request")
{
  auto limits = MakeLimits(Millis(60000), Millis(60000));
  auto test = [&](HttpServer&) {
    RawCaller idle(MakeEndpoint());
    RawCaller header(MakeEndpoint());
    header.Send("POST / HT");
    Runtime::Sleep(Millis(30));
    limits = MakeLimits(Millis(50), Millis(50));
    Runtime::Sleep(Millis(200));
    idle.Send(kPostHead + "body");
    header.Send("TP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
    for (auto* caller : { &idle, &header }) {
      CHECK(caller->ReadToEnd().ends_with("body"));
    }
  };
  RunServer(
    &Echo, [&limits] { return limits; }, test);
}

namespace {

/** A handler that waits for its caller's close and records what it saw. */
struct CloseWatcher
{
  bool started = false;
  bool hookCalled = false;
  bool isDisconnected = false;
  bool isReleased = false;

  // Watches for the caller's close during the first request only.
  void Handle(ResponseWriter& aWriter)
  {
    if (started) {
      aWriter.Send({});
      return;
    }
    aWriter.SetDisconnectHook([this] { hookCalled = true; });
    started = true;
    WaitUntil([this] { return hookCalled || isReleased; });
    isDisconnected = aWriter.IsPeerDisconnected();
    aWriter.Send({});
  }
};

void
RunWatcher(CloseWatcher& aWatcher, const std::function<void()>& aTest)
{
  auto limits = MakeLimits(Millis(60000), Millis(60000));
  RunServer(
    [&aWatcher](const auto&, auto& aWriter) { aWatcher.Handle(aWriter); },
    [&limits] { return limits; },
    [&](HttpServer&) { aTest(); });
}

} // namespace

// Guards against upstreams that go on working for a caller that pipelined
// another request and closed: those bytes ended the watch for the close.
TEST_CASE("the close of a caller that has sent more is noticed")
{
  CloseWatcher watcher;
  RunWatcher(watcher, [&watcher] {
    auto caller = std::make_unique<RawCaller>(MakeEndpoint());
    caller->Send(kGet);
    REQUIRE(WaitUntil([&watcher] { return watcher.started; }));
    caller->Send(kGet);
    Runtime::Sleep(Millis(50));
    // Waiting beside unread input takes no processor time.
    auto before = std::clock();
    Runtime::Sleep(Millis(400));
    CHECK(static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC < 0.2);
    CHECK_FALSE(watcher.hookCalled);
    caller.reset();
    CHECK(WaitUntil([&watcher] { return watcher.hookCalled; }));
    watcher.isReleased = true;
    Runtime::Sleep(Millis(50));
    CHECK(watcher.isDisconnected);
  });
}

TEST_CASE("requests that were pipelined are answered in order")
{
  CloseWatcher watcher;
  RunWatcher(watcher, [&watcher] {
    RawCaller caller(MakeEndpoint());
    caller.Send(kGet + kGet);
    REQUIRE(WaitUntil([&watcher] { return watcher.started; }));
    caller.Send(kGet);
    Runtime::Sleep(Millis(50));
    watcher.isReleased = true;
    auto answers = caller.ReadToEnd(Millis(500));
    std::size_t count = 0;
    for (auto at = answers.find("HTTP/1.1 200 "); at != std::string::npos;
         at = answers.find("HTTP/1.1 200 ", at + 1)) {
      ++count;
    }
    CHECK(count == 3);
    CHECK_FALSE(watcher.hookCalled);
  });
}

// Guards against upstreams that go on working for callers that have left: a
// half-close cannot be told from a close.
TEST_CASE("a caller that closes its sending direction counts as gone")
{
  CloseWatcher watcher;
  RunWatcher(watcher, [&watcher] {
    RawCaller caller(MakeEndpoint());
    caller.Send(kGet);
    REQUIRE(WaitUntil([&watcher] { return watcher.started; }));
    caller.HalfClose();
    CHECK(WaitUntil([&watcher] { return watcher.hookCalled; }));
    Runtime::Sleep(Millis(50));
    CHECK(watcher.isDisconnected);
  });
}

// Guards against a response that promises to keep a connection which the
// stopping server then closes: the caller's next request would be lost on it.
TEST_CASE("a response that starts after the server's close ends the connection")
{
  CloseWatcher watcher;
  auto limits = MakeLimits(Millis(60000), Millis(60000));
  auto test = [&](HttpServer& aServer) {
    RawCaller caller(MakeEndpoint());
    caller.Send(kGet);
    REQUIRE(WaitUntil([&watcher] { return watcher.started; }));
    aServer.Close();
    watcher.isReleased = true;
    auto answer = caller.ReadToEnd(kWaitTimeout);
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    CHECK(answer.find("Connection: close") != std::string::npos);
  };
  RunServer([&watcher](const auto&, auto& aWriter) { watcher.Handle(aWriter); },
            [&limits] { return limits; },
            test);
}

// Guards against answers that a reset destroys: a close with unread input
// makes the kernel discard what the caller has not received yet.
TEST_CASE("an answer reaches a slow reader that has sent another request")
{
  constexpr std::size_t kAnswerBytes = 100 * 1024;
  constexpr int kReceiveBytes = 4096;
  auto limits = MakeLimits(Millis(60000), Millis(60000));
  bool answered = false;
  auto handler = [&](const HttpRequest&, ResponseWriter& aWriter) {
    Runtime::Sleep(Millis(50));
    answered = aWriter.Send(
      MakeJsonResponse(200, std::string(kAnswerBytes, 'x') + "end"));
  };
  auto test = [&](HttpServer& aServer) {
    RawCaller caller(MakeEndpoint(), kReceiveBytes);
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
                kGet);
    Runtime::Sleep(Millis(20));
    caller.Send(kGet);
    CHECK(WaitUntil([&answered] { return answered; }));
    Runtime::Sleep(Millis(300));
    CHECK(aServer.GetActiveCount() > 0);
    CHECK(caller.ReadToEnd(kWaitTimeout).ends_with("end"));
    CHECK(WaitUntil([&aServer] { return aServer.GetActiveCount() == 0; }));
  };
  RunServer(
    handler, [&limits] { return limits; }, test);
}

TEST_CASE("a refusal reaches a caller that is still sending its body")
{
  constexpr std::size_t kBodyBytes = 1 << 20;
  auto limits = MakeLimits(Millis(60000), Millis(60000));
  auto test = [&](HttpServer&) {
    RawCaller caller(MakeEndpoint());
    caller.Send(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n");
    for (std::size_t sent = 0; sent < kBodyBytes; sent += 64 * 1024) {
      Runtime::Sleep(Millis(10));
      CHECK(caller.Send(std::string(64 * 1024, 'x')));
    }
    CHECK(caller.ReadToEnd(kWaitTimeout).starts_with("HTTP/1.1 413 "));
    CHECK_FALSE(caller.IsReset());
  };
  RunServer(
    &Echo, [&limits] { return limits; }, test);
}

// Guards against callers that can't know the idle limit and send a request
// into the close.
TEST_CASE("a response that keeps its connection states the idle limit")
{
  const std::string kGetAndClose =
    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  auto limits = MakeLimits(Millis(2900), Millis(60000));
  bool streams = false;
  auto handler = [&](const HttpRequest&, ResponseWriter& aWriter) {
    HttpFields foreign;
    foreign.Set("Keep-Alive", "timeout=77");
    if (streams) {
      aWriter.Start(200, foreign);
      aWriter.Finish();
      return;
    }
    HttpResponse response;
    response.fields = foreign;
    aWriter.Send(response);
  };
  auto call = [](const std::string& aRequest) {
    RawCaller caller(MakeEndpoint());
    caller.Send(aRequest);
    return caller.ReadBytes(60, kWaitTimeout);
  };
  auto test = [&](HttpServer&) {
    for (bool isStream : { false, true }) {
      CAPTURE(isStream);
      streams = isStream;
      limits.idle = Millis(2900);
      CHECK(call(kGet).find("Keep-Alive: timeout=2\r\n") != std::string::npos);
      CHECK(call(kGetAndClose).find("Keep-Alive") == std::string::npos);
      limits.idle = Millis(999);
      CHECK(call(kGet).find("Keep-Alive") == std::string::npos);
    }
  };
  RunServer(
    handler, [&limits] { return limits; }, test);
}

// Guards against a limit that is shortened under a response, which has stated
// the longer one to its caller.
TEST_CASE("a connection is kept for the time that its response has stated")
{
  auto limits = MakeLimits(Millis(60000), Millis(60000));
  auto handler = [&limits](const HttpRequest&, ResponseWriter& aWriter) {
    aWriter.Start(200, {});
    limits.idle = Millis(50);
    aWriter.Finish();
  };
  auto test = [&](HttpServer&) {
    RawCaller caller(MakeEndpoint());
    caller.Send(kGet);
    CHECK(caller.ReadBytes(15, kWaitTimeout).starts_with("HTTP/1.1 200 "));
    Runtime::Sleep(Millis(300));
    CHECK_FALSE(caller.ReadSome() == std::nullopt);
    CHECK(caller.Send(kGet));
    CHECK(caller.ReadToEnd(kWaitTimeout).starts_with("HTTP/1.1 200 "));
  };
  RunServer(
    handler, [&limits] { return limits; }, test);
}

// Guards against a connection above the largest number that is closed with no
// response, line or count, which its caller can't tell from a crash.
TEST_CASE("a connection above the largest number is refused with 503")
{
  CounterDelta refused("http_connections_refused_total");
  Runtime runtime(1);
  runtime.Run([&] {
    utils::Error reason;
    auto server = HttpServer::Builder(runtime)
                    .SetEndpoint(MakeEndpoint())
                    .SetHandler(&Echo)
                    .SetMaxConnections(1)
                    .Build(reason);
    REQUIRE_MESSAGE(server, reason.detail);
    auto first = std::make_unique<RawCaller>(MakeEndpoint());
    first->Send(kPostHead + "body");
    CHECK(first->ReadBytes(15, kWaitTimeout).starts_with("HTTP/1.1 200 "));
    for (std::uint64_t count = 1; count <= 3; ++count) {
      RawCaller surplus(MakeEndpoint());
      surplus.Send(kPostHead + "body");
      auto answer = surplus.ReadToEnd(kWaitTimeout);
      CHECK(answer.starts_with("HTTP/1.1 503 "));
      CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
      CHECK(answer.find("Connection: close") != std::string::npos);
      CHECK_FALSE(surplus.IsReset());
      CHECK(refused.Get() == count);
    }
    first->Send(kPostHead + "body");
    CHECK(first->ReadBytes(15, kWaitTimeout).starts_with("HTTP/1.1 200 "));
    first.reset();
    CHECK(WaitUntil([] {
      RawCaller next(MakeEndpoint());
      next.Send(kPostHead + "body");
      return next.ReadBytes(15, kWaitTimeout).starts_with("HTTP/1.1 200 ");
    }));
    CHECK(refused.Get() >= 3);
    CHECK(WaitUntil([&server] { return server->GetActiveCount() == 0; }));
    server->Close();
    return 0;
  });
}

TEST_CASE("callers that never read or close do not hold the server for long")
{
  auto limits = MakeLimits(Millis(60000), Millis(100));
  auto test = [&](HttpServer& aServer) {
    RawCaller refused(MakeEndpoint());
    refused.Send("GET / HT");
    RawCaller deaf(MakeEndpoint(), 4096);
    deaf.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + kGet);
    CHECK(WaitUntil([&aServer] { return aServer.GetActiveCount() == 0; }));
  };
  auto handler = [](const HttpRequest&, ResponseWriter& aWriter) {
    aWriter.Send(MakeJsonResponse(200, std::string(100 * 1024, 'x')));
  };
  RunServer(
    handler, [&limits] { return limits; }, test);
}

namespace {

/** What the first exchange of a caller leaves its connection in. */
enum class CallerKind
{
  /** Kept and idle. */
  Idle,
  /** Connected, nothing sent. */
  New,
  /** Within a response that promised to keep the connection. */
  Streaming
};

/** A caller whose last request is sent at a moment around a server's close. */
struct ClosingCaller
{
  CallerKind kind = CallerKind::Idle;
  std::string name;
  /** Relative to the moment at which the close is due. */
  std::chrono::microseconds sendDelay{ 0 };
  std::chrono::steady_clock::time_point sentAt;
  std::unique_ptr<RawCaller> connection;
  bool isAnswered = false;
  bool isRefused = false;
  /** Answered by a response that kept the connection. */
  bool isKept = false;
};

struct CloseCounts
{
  int requests = 0;
  int answered = 0;
  int answeredAndKept = 0;
  int refused = 0;
  int crossedUnread = 0;
  /** Passed to the handler, and not answered. */
  int lostAfterRead = 0;
  /** Not answered, though sent before the close. */
  int lostBeforeClose = 0;
  /** Not answered, though sent in time on a connection that was new, or kept
   * by a response that ended after the close. */
  int lostThoughDue = 0;
  /** Not sent in time by the test itself. */
  int sentLate = 0;
};

// Within the second for which a closing server waits.
constexpr Millis kDueTime(800);

std::string
MakePost(const std::string& aName)
{
  return "POST /last HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aName.size()) + "\r\n\r\n" + aName;
}

/** Plays seeded callers, on a thread of their own, beside a server's close. */
class CloseRound
{
public:
  CloseRound(std::uint64_t aSeed, int aCallers)
    : random_(aSeed)
  {
    std::uniform_int_distribution<int> kinds(0, 2);
    std::uniform_int_distribution<int> delays(-2000, 2000);
    for (int i = 0; i < aCallers; ++i) {
      auto& caller = callers_.emplace_back();
      caller.kind = static_cast<CallerKind>(kinds(random_));
      caller.name = std::to_string(aSeed) + "-" + std::to_string(i) + ";";
      caller.sendDelay = std::chrono::microseconds(delays(random_));
    }
  }

  HttpHandler MakeHandler()
  {
    return [this](const HttpRequest& aRequest, ResponseWriter& aWriter) {
      if (aRequest.target == "/stream") {
        aWriter.Start(200, {});
        aWriter.Write("first");
        WaitUntil([this] { return released_.load(); });
        aWriter.Write("last");
        aWriter.Finish();
        return;
      }
      read_.insert(aRequest.body);
      aWriter.Send(MakeJsonResponse(200, "got " + aRequest.body));
    };
  }

  void Play(HttpServer& aServer)
  {
    for (auto& caller : callers_) {
      Prepare(caller);
    }
    auto closeDue =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(10);
    std::thread thread([this, closeDue] { SendAll(closeDue); });
    Runtime::Sleep(Millis(8));
    while (std::chrono::steady_clock::now() < closeDue) {
      Runtime::Sleep(Millis(0));
    }
    closedAt_ = std::chrono::steady_clock::now();
    aServer.Close();
    released_ = true;
    WaitUntil([this] { return hasEnded_.load(); });
    thread.join();
    for (auto& caller : callers_) {
      CHECK(WaitUntil([&caller] { return caller.connection->IsAtEnd(); }));
    }
  }

  void AddTo(CloseCounts& aCounts) const
  {
    for (const auto& caller : callers_) {
      bool isLost = !caller.isAnswered && !caller.isRefused;
      bool wasRead = read_.contains(caller.name);
      ++aCounts.requests;
      aCounts.answered += caller.isAnswered ? 1 : 0;
      aCounts.answeredAndKept += caller.isKept ? 1 : 0;
      aCounts.refused += caller.isRefused ? 1 : 0;
      aCounts.crossedUnread += isLost && !wasRead ? 1 : 0;
      aCounts.lostAfterRead += isLost && wasRead ? 1 : 0;
      aCounts.lostBeforeClose += isLost && caller.sentAt < closedAt_ ? 1 : 0;
      bool isDue = caller.kind != CallerKind::Idle &&
                   caller.sentAt < closedAt_ + kDueTime.ToChrono();
      aCounts.lostThoughDue += isLost && isDue ? 1 : 0;
      aCounts.sentLate +=
        caller.sentAt >= closedAt_ + kDueTime.ToChrono() ? 1 : 0;
    }
  }

private:
  static void Prepare(ClosingCaller& aCaller)
  {
    aCaller.connection = std::make_unique<RawCaller>(MakeEndpoint());
    if (aCaller.kind == CallerKind::Idle) {
      aCaller.connection->Send(MakePost("first"));
      ReadUntil(*aCaller.connection, "got first");
    } else if (aCaller.kind == CallerKind::Streaming) {
      aCaller.connection->Send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
      ReadUntil(*aCaller.connection, "first\r\n");
    }
  }

  static void ReadUntil(RawCaller& aConnection, const std::string& aEnd)
  {
    std::string received;
    CHECK(WaitUntil([&] {
      received += aConnection.ReadSome().value_or("");
      return received.ends_with(aEnd);
    }));
  }

  // Spins instead of sleeping: a sleep is longer than the moments in question.
  void SendAll(std::chrono::steady_clock::time_point aCloseDue)
  {
    std::vector<ClosingCaller*> waiting;
    for (auto& caller : callers_) {
      waiting.push_back(&caller);
    }
    auto end = aCloseDue + kWaitTimeout.ToChrono();
    std::vector<ClosingCaller*> sent;
    std::map<ClosingCaller*, std::string> received;
    while (!(waiting.empty() && sent.empty()) &&
           std::chrono::steady_clock::now() < end) {
      std::erase_if(waiting, [&](ClosingCaller* aCaller) {
        auto& bytes = received[aCaller];
        if (!IsDue(*aCaller, aCloseDue, bytes)) {
          return false;
        }
        bytes.clear();
        aCaller->connection->Send(MakePost(aCaller->name));
        aCaller->sentAt = std::chrono::steady_clock::now();
        sent.push_back(aCaller);
        return true;
      });
      std::erase_if(sent, [&](ClosingCaller* aCaller) {
        return ReadAnswer(*aCaller, received[aCaller]);
      });
    }
    hasEnded_ = true;
  }

  static bool IsDue(ClosingCaller& aCaller,
                    std::chrono::steady_clock::time_point aCloseDue,
                    std::string& aReceived)
  {
    if (aCaller.kind != CallerKind::Streaming) {
      return std::chrono::steady_clock::now() >= aCloseDue + aCaller.sendDelay;
    }
    aReceived += aCaller.connection->ReadSome().value_or("");
    return aReceived.ends_with("\r\n0\r\n\r\n");
  }

  /** Whether the request has ended. */
  static bool ReadAnswer(ClosingCaller& aCaller, std::string& aReceived)
  {
    auto part = aCaller.connection->ReadSome();
    aReceived += part.value_or("");
    aCaller.isAnswered = aReceived.ends_with("got " + aCaller.name);
    aCaller.isKept = aCaller.isAnswered &&
                     aReceived.find("Connection: close") == std::string::npos;
    aCaller.isRefused = !part && !aCaller.isAnswered &&
                        aReceived.starts_with("HTTP/1.1 ") &&
                        !aReceived.starts_with("HTTP/1.1 200 ");
    return !part || aCaller.isAnswered;
  }

  std::mt19937_64 random_;
  std::deque<ClosingCaller> callers_;
  std::set<std::string> read_;
  std::atomic<bool> released_{ false };
  std::atomic<bool> hasEnded_{ false };
  std::chrono::steady_clock::time_point closedAt_;
};

} // namespace

// Guards against requests that a planned stop loses: those that had arrived
// before the server's close, and those on a connection that a response which
// ended after it had promised to keep.
TEST_CASE("a server's close loses no request that it could have answered")
{
  constexpr std::uint64_t kRounds = 24;
  constexpr int kCallers = 24;
  CloseCounts counts;
  CounterDelta peer("http_closed_by_peer_total");
  CounterDelta unfinished("http_responses_unfinished_total");
  CounterDelta shutdown("http_closed_at_shutdown_total");
  CounterDelta unread("http_closed_unread_total");
  auto limits = MakeLimits(Millis(60000), Millis(60000));
  for (std::uint64_t seed = 1; seed <= kRounds; ++seed) {
    CloseRound round(seed, kCallers);
    RunServer(
      round.MakeHandler(),
      [&limits] { return limits; },
      [&round](HttpServer& aServer) { round.Play(aServer); });
    round.AddTo(counts);
  }
  MESSAGE("requests ",
          counts.requests,
          ", answered ",
          counts.answered,
          ", refused ",
          counts.refused,
          ", crossed the close unread ",
          counts.crossedUnread,
          ", lost after being read ",
          counts.lostAfterRead,
          ", sent late ",
          counts.sentLate,
          ", closed with unread bytes ",
          unread.Get());
  CHECK(counts.answered > 0);
  CHECK(counts.sentLate < counts.requests / 4);
  CHECK(counts.answered + counts.refused + counts.crossedUnread ==
        counts.requests);
  CHECK(counts.lostAfterRead == 0);
  CHECK(counts.lostBeforeClose == 0);
  CHECK(counts.lostThoughDue == 0);
  CHECK(static_cast<int>(shutdown.Get()) ==
        counts.crossedUnread + counts.answeredAndKept);
  CHECK(static_cast<int>(unread.Get()) <= counts.crossedUnread);
  CHECK(peer.Get() == 0);
  CHECK(unfinished.Get() == 0);
}
