#include <doctest/doctest.h>

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include <unistd.h>

#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <net/Router.h>

#include "RawCaller.h"

using namespace waxwingyoke;
using namespace waxwingyoke::net;

namespace {

// A loopback address derived from the process id, so that tests that run in
// parallel do not collide; the port is below the ephemeral range.
Endpoint
MakeEndpoint()
{
  auto pid = static_cast<unsigned>(getpid());
  return { "127.77." + std::to_string(pid / 250 % 250) + "." +
             std::to_string(pid % 250 + 1),
           7301 };
}

void
WithServer(const HttpHandler& aHandler,
           const std::function<void(HttpClient&, const Endpoint&)>& aTest)
{
  Runtime runtime(2);
  runtime.Run([&] {
    utils::Error reason;
    auto endpoint = MakeEndpoint();
    auto server = HttpServer::Builder(runtime)
                    .SetEndpoint(endpoint)
                    .SetHandler(aHandler)
                    .SetMaxBodyBytes(1000)
                    .Build(reason);
    REQUIRE_MESSAGE(server, reason.detail);
    HttpClient client;
    aTest(client, endpoint);
    server->Close();
    return 0;
  });
}

void
Echo(const HttpRequest& aRequest, ResponseWriter& aWriter)
{
  aWriter.Send(MakeJsonResponse(200, aRequest.body));
}

HttpRequest
MakePost(std::string aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.body = std::move(aBody);
  return request;
}

} // namespace

// A planned stop under load: callers' connections are accepted by the kernel,
// or their requests are partly read, at the moment of the close.
TEST_CASE("requests that arrive around a close are answered")
{
  constexpr int kCallers = 100;
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 4\r\n\r\n";
  Runtime runtime(1);
  runtime.Run([&] {
    utils::Error reason;
    auto server = HttpServer::Builder(runtime)
                    .SetEndpoint(MakeEndpoint())
                    .SetHandler(&Echo)
                    .Build(reason);
    REQUIRE_MESSAGE(server, reason.detail);
    std::vector<std::unique_ptr<RawCaller>> callers;
    auto connect = [&] {
      callers.push_back(std::make_unique<RawCaller>(MakeEndpoint()));
    };
    // Accepted, with half of a request, or nothing of it.
    for (int i = 0; i < kCallers; ++i) {
      connect();
    }
    Runtime::Sleep(utils::Millis(50));
    for (int i = 0; i < kCallers; ++i) {
      callers[i]->Send(i % 2 == 0 ? head + "bo" : "");
    }
    Runtime::Sleep(utils::Millis(50));
    // Complete, but the server's fiber has not run since.
    for (int i = 0; i < kCallers; ++i) {
      connect();
      callers.back()->Send(head + "body");
    }
    CHECK(server->GetActiveCount() > 0);
    server->Close();
    Runtime::Sleep(utils::Millis(10));
    CHECK(server->GetActiveCount() > 0);
    for (int i = 0; i < kCallers; ++i) {
      callers[i]->Send(i % 2 == 0 ? "dy" : head + "body");
    }
    int answered = 0;
    for (auto& caller : callers) {
      answered += caller->ReadToEnd().ends_with("body") ? 1 : 0;
    }
    CHECK(answered == 2 * kCallers);
    CHECK(server->GetActiveCount() == 0);
    return 0;
  });
}

TEST_CASE("a handler that throws answers 500 and the server goes on")
{
  auto handler = [](const HttpRequest& aRequest, ResponseWriter& aWriter) {
    if (aRequest.target == "/bad") {
      throw std::runtime_error("unexpected");
    }
    aWriter.Send({});
  };
  WithServer(handler, [](HttpClient& aClient, const Endpoint& aPeer) {
    utils::Error reason;
    HttpRequest request;
    request.target = "/bad";
    auto failed = aClient.Call(aPeer, request, {}, reason);
    REQUIRE_MESSAGE(failed, reason.detail);
    CHECK(failed->status == 500);
    request.target = "/good";
    auto served = aClient.Call(aPeer, request, {}, reason);
    REQUIRE_MESSAGE(served, reason.detail);
    CHECK(served->status == 200);
  });
}

TEST_CASE("complete responses arrive over a kept connection")
{
  WithServer(&Echo, [](HttpClient& aClient, const Endpoint& aPeer) {
    utils::Error reason;
    for (int i = 0; i < 20; ++i) {
      auto body = std::to_string(i);
      auto response = aClient.Call(aPeer, MakePost(body), {}, reason);
      REQUIRE_MESSAGE(response, reason.detail);
      CHECK(response->body == body);
    }
  });
}

TEST_CASE("a streamed response arrives with all its parts")
{
  auto handler = [](const HttpRequest&, ResponseWriter& aWriter) {
    aWriter.Start(200, {});
    aWriter.Write("one");
    aWriter.Write("two");
    aWriter.Finish();
  };
  WithServer(handler, [](HttpClient& aClient, const Endpoint& aPeer) {
    utils::Error reason;
    auto response = aClient.Call(aPeer, {}, {}, reason);
    REQUIRE(response);
    CHECK(response->body == "onetwo");
  });
}

TEST_CASE("an unfinished response is reported as a lost connection")
{
  auto handler = [](const HttpRequest&, ResponseWriter& aWriter) {
    aWriter.Start(200, {});
    aWriter.Write("half");
  };
  WithServer(handler, [](HttpClient& aClient, const Endpoint& aPeer) {
    utils::Error reason;
    CHECK_FALSE(aClient.Call(aPeer, {}, {}, reason));
    CHECK(reason.kind == utils::ErrorKind::ConnectionLost);
  });
}

TEST_CASE("an unresponsive server is a timeout, a closed port a failed connect")
{
  auto handler = [](const HttpRequest&, ResponseWriter& aWriter) {
    Runtime::Sleep(utils::Millis(300));
    aWriter.Send({});
  };
  WithServer(handler, [](HttpClient& aClient, const Endpoint& aPeer) {
    utils::Error reason;
    CallTimeouts timeouts;
    timeouts.head = utils::Millis(30);
    CHECK_FALSE(aClient.Call(aPeer, {}, timeouts, reason));
    CHECK(reason.kind == utils::ErrorKind::TimedOut);
    CHECK_FALSE(aClient.Call({ aPeer.address, 7302 }, {}, {}, reason));
    CHECK(reason.kind == utils::ErrorKind::ConnectFailed);
  });
}

TEST_CASE("an endless response is aborted as too large")
{
  auto handler = [](const HttpRequest&, ResponseWriter& aWriter) {
    std::string part(1 << 20, 'x');
    aWriter.Start(200, {});
    while (aWriter.Write(part)) {
    }
  };
  WithServer(handler, [](HttpClient& aClient, const Endpoint& aPeer) {
    utils::Error reason;
    CHECK_FALSE(aClient.Call(aPeer, {}, {}, reason));
    CHECK(reason.kind == utils::ErrorKind::TooLarge);
  });
}

TEST_CASE("a request body over the limit is rejected as too large")
{
  WithServer(&Echo, [](HttpClient& aClient, const Endpoint& aPeer) {
    utils::Error reason;
    auto response =
      aClient.Call(aPeer, MakePost(std::string(2000, 'x')), {}, reason);
    REQUIRE(response);
    CHECK(response->status == 413);
  });
}

TEST_CASE("the router selects by method and path and requires the secret")
{
  Router router;
  router.Add("POST", "/a/*", &Echo);
  auto handler = RequireSecret(
    "s3", [&router](const HttpRequest& aRequest, ResponseWriter& aWriter) {
      router.Handle(aRequest, aWriter);
    });
  WithServer(handler, [](HttpClient& aClient, const Endpoint& aPeer) {
    utils::Error reason;
    auto request = MakePost("x");
    auto status = [&] {
      auto response = aClient.Call(aPeer, request, {}, reason);
      return response ? response->status : 0;
    };
    CHECK(status() == 401);
    auto secret = MakeSecretField("s3");
    request.fields.Set(secret.name, secret.value);
    CHECK(status() == 404);
    request.target = "/a/b";
    CHECK(status() == 200);
    request.method = "GET";
    CHECK(status() == 405);
  });
}

// Guards against a connection that is kept for another peer than its own, and
// then serves that peer's requests for good: an upstream's record may be
// replaced while a request connects to it.
TEST_CASE("a kept connection belongs to the peer that it was made to, although "
          "the caller's endpoint changes during the connect")
{
  auto handler = [](const HttpRequest&, ResponseWriter& aWriter) {
    aWriter.Send(MakeJsonResponse(200, "old"));
  };
  WithServer(handler, [](HttpClient& aClient, const Endpoint& aOldPeer) {
    utils::Error reason;
    auto peer = aOldPeer;
    bool done = false;
    Runtime::SpawnHere([&] {
      auto response = aClient.Call(peer, MakePost("x"), {}, reason);
      CHECK((response && response->body == "old"));
      done = true;
    });
    // The call runs up to its connect.
    Runtime::Sleep(utils::Millis(0));
    ++peer.port;
    while (!done) {
      Runtime::Sleep(utils::Millis(1));
    }
    // Nothing listens there.
    CHECK_FALSE(aClient.Call(peer, MakePost("x"), {}, reason));
  });
}
