#include <doctest/doctest.h>

#include <atomic>
#include <string>

#include <unistd.h>

#include <BrokenHeads.h>
#include <RawServer.h>
#include <net/Runtime.h>

#include "Answer.h"
#include "UpstreamClient.h"

using namespace waxwingyoke;
using namespace waxwingyoke::requests;
using utils::Millis;

namespace {

net::Endpoint
MakeEndpoint()
{
  auto pid = static_cast<unsigned>(getpid());
  return { "127.80." + std::to_string(pid / 250 % 250) + "." +
             std::to_string(pid % 250 + 1),
           7305 };
}

/** A plain service that answers with aResponse and, unless it has died, to the
 * probe that follows. */
net::RawServer::Script
MakeService(const std::string& aResponse, const bool& aDies)
{
  return [&aResponse, &aDies](net::RawServer::Peer& aPeer) {
    if (!aPeer.ReadRequest()) {
      return;
    }
    if (!aPeer.GetRequestHead().starts_with("OPTIONS")) {
      aPeer.Send(aResponse);
    } else if (!aDies) {
      aPeer.Send("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
    }
  };
}

} // namespace

// Guards against half of an answer that passes as complete: its upstream died
// while it wrote, and the close of the connection was the only end it had.
TEST_CASE(
  "broken off: an answer that ends with its connection is complete only "
  "if its upstream still runs")
{
  const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nhalf";
  const std::string framed = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull";
  constexpr Millis kTimeout(10000);
  std::string response;
  bool dies = false;
  auto endpoint = MakeEndpoint();
  net::RawServer server(endpoint, MakeService(response, dies));
  REQUIRE(server.IsListening());
  net::Runtime runtime(1);
  runtime.Run([&] {
    net::HttpClient client;
    Upstream upstream{ endpoint, false };
    UpstreamClient upstreamClient(client, upstream);
    auto run = [&](const std::string& aResponse, bool aDies) {
      response = aResponse;
      dies = aDies;
      schema::AttemptRequest request;
      request.set_method("POST");
      request.set_path("/a");
      Answer answer;
      utils::Error reason;
      utils::Clock clock;
      bool isComplete =
        upstreamClient.Run(request, "", clock.Now() + kTimeout, answer, reason);
      CHECK(isComplete == (reason.kind == utils::ErrorKind::None));
      return isComplete;
    };
    CHECK(run(unframed, false));
    CHECK_FALSE(run(unframed, true));
    CHECK(run(framed, true));
    // A head that is cut is no answer either, whether the upstream runs or not.
    for (const auto& whole : { unframed, framed }) {
      for (std::size_t i = 1; i < whole.find("\r\n\r\n") + 4; ++i) {
        CAPTURE(i);
        CHECK_FALSE(run(whole.substr(0, i), i % 2 == 0));
      }
    }
    return 0;
  });
}

// Guards against an answer that an upstream repeats on a kept connection and
// that is delivered as the answer to the connection's next attempt.
TEST_CASE("a repeated answer is not the next attempt's")
{
  constexpr Millis kTimeout(10000);
  auto endpoint = MakeEndpoint();
  std::atomic<int> attempts = 0;
  auto script = [&](net::RawServer::Peer& aPeer) {
    std::string repeat;
    while (aPeer.ReadRequest()) {
      aPeer.Send(repeat);
      usleep(20000);
      auto body = std::to_string(++attempts);
      repeat = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body;
      aPeer.Send(repeat);
    }
  };
  net::RawServer server(endpoint, script);
  REQUIRE(server.IsListening());
  net::Runtime runtime(1);
  runtime.Run([&] {
    net::HttpClient client;
    Upstream upstream{ endpoint, false };
    UpstreamClient upstreamClient(client, upstream);
    for (int i = 1; i <= 3; ++i) {
      schema::AttemptRequest request;
      request.set_method("POST");
      request.set_path("/a");
      Answer answer;
      utils::Error reason;
      utils::Clock clock;
      CHECK(upstreamClient.Run(
        request, "", clock.Now() + kTimeout, answer, reason));
      CHECK(answer.Wait(true, 0, Millis(0)).data == std::to_string(i));
    }
    return 0;
  });
}

// Guards against a broken answer of a service that is held as the attempt's.
TEST_CASE("an answer whose head breaks HTTP is not the attempt's")
{
  constexpr Millis kTimeout(10000);
  auto endpoint = MakeEndpoint();
  std::string response;
  bool dies = false;
  net::RawServer server(endpoint, MakeService(response, dies));
  REQUIRE(server.IsListening());
  net::Runtime runtime(1);
  runtime.Run([&] {
    net::HttpClient client;
    Upstream upstream{ endpoint, false };
    UpstreamClient upstreamClient(client, upstream);
    for (const auto& broken : net::ListBrokenResponses("200", "body")) {
      CAPTURE(broken);
      response = broken;
      schema::AttemptRequest request;
      request.set_method("POST");
      request.set_path("/a");
      Answer answer;
      utils::Error reason;
      utils::Clock clock;
      CHECK_FALSE(upstreamClient.Run(
        request, "", clock.Now() + kTimeout, answer, reason));
      CHECK(reason.kind == utils::ErrorKind::UpstreamFailed);
      auto part = answer.Wait(false, 0, Millis(0));
      CHECK_FALSE(part.head);
      CHECK(part.data.empty());
    }
    return 0;
  });
}

// Guards against a strike for a request that crashed no upstream.
TEST_CASE("an upstream that answers a probe with a broken head has not crashed")
{
  auto endpoint = MakeEndpoint();
  std::string response;
  net::RawServer server(endpoint, [&](net::RawServer::Peer& aPeer) {
    if (aPeer.ReadRequest()) {
      aPeer.Send(response);
    }
  });
  REQUIRE(server.IsListening());
  net::Runtime runtime(1);
  runtime.Run([&] {
    net::HttpClient client;
    for (bool isEngine : { false, true }) {
      CAPTURE(isEngine);
      Upstream upstream{ endpoint, isEngine };
      UpstreamClient upstreamClient(client, upstream);
      for (const auto& broken : net::ListBrokenResponses("200", "{}")) {
        CAPTURE(broken);
        response = broken;
        CHECK_FALSE(upstreamClient.HasCrashed("incarnation"));
      }
      for (const auto* cut :
           { "", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nA: a\r\n" }) {
        CAPTURE(cut);
        response = cut;
        CHECK(upstreamClient.HasCrashed("incarnation"));
      }
    }
    return 0;
  });
}
