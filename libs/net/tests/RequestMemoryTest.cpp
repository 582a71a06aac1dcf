#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <net/HttpServer.h>
#include <net/RequestMemory.h>

#include "BrokenHeads.h"
#include "RawCaller.h"

using namespace waxwingyoke;
using namespace waxwingyoke::net;
using utils::Millis;

namespace {

constexpr std::size_t kLimit = 1000 * 1000;
constexpr std::size_t kLarge = 600 * 1000;
constexpr Millis kStart(5000);
constexpr Millis kAnswerTime(20000);

// A loopback address derived from the process id, so that tests that run in
// parallel do not collide; the port is below the ephemeral range.
Endpoint
MakeEndpoint()
{
  auto pid = static_cast<unsigned>(getpid());
  return { "127.79." + std::to_string(pid / 250 % 250) + "." +
             std::to_string(pid % 250 + 1),
           7305 };
}

/** Runs a server that answers with the request's fields "X" and its size. */
void
RunServer(const std::shared_ptr<RequestMemory>& aMemory,
          const std::function<void(const Endpoint&)>& aTest)
{
  Runtime runtime(1);
  runtime.Run([&] {
    utils::Error reason;
    auto endpoint = MakeEndpoint();
    auto server =
      HttpServer::Builder(runtime)
        .SetEndpoint(endpoint)
        .SetMemory(aMemory)
        .SetMaxBodyBytes(kLimit)
        .SetHandler([](const HttpRequest& aRequest, ResponseWriter& aWriter) {
          aWriter.Send(MakeJsonResponse(
            200,
            "[" + std::string(aRequest.fields.Find("X")) + "," +
              std::to_string(aRequest.body.size()) + "]"));
        })
        .Build(reason);
    REQUIRE_MESSAGE(server, reason.detail);
    aTest(endpoint);
    server->Close();
    return 0;
  });
}

std::string
MakeHead(const std::string& aFraming)
{
  return "POST / HTTP/1.1\r\nHost: h\r\nX: 1\r\nConnection: close\r\n" +
         aFraming + "\r\n\r\n";
}

} // namespace

// Guards against large requests that keep small ones waiting.
TEST_CASE("small requests have memory when large ones use all of it")
{
  auto memory = std::make_shared<RequestMemory>(kLimit);
  RequestShare large(memory, kStart);
  CHECK(large.Resize(kLimit, kStart));
  RequestShare next(memory, kStart);
  CHECK_FALSE(next.Resize(kLarge, kStart));
  CHECK(next.Resize(RequestMemory::kSmallBytes, kStart));
  CHECK_FALSE(next.Resize(RequestMemory::kSmallBytes + 1, kStart));
  CHECK(memory->GetUsed() == kLimit + RequestMemory::kSmallBytes);
}

// Guards against a crowd of small requests without a bound.
TEST_CASE("small requests are bounded, too")
{
  auto memory = std::make_shared<RequestMemory>(kLimit);
  std::vector<std::unique_ptr<RequestShare>> shares;
  auto add = [&] {
    shares.push_back(std::make_unique<RequestShare>(memory, kStart));
    return shares.back()->Resize(RequestMemory::kSmallBytes, kStart);
  };
  while (add()) {
    REQUIRE(shares.size() < 1000);
  }
  CHECK(memory->GetUsed() <= kLimit + kLimit / 2);
  CHECK(memory->GetUsed() > kLimit);
}

// Guards against callers that stop within a body and keep its memory while
// others wait, and against giving up more of them than have to.
TEST_CASE("the request that stalled first gives way, one at a time")
{
  auto memory = std::make_shared<RequestMemory>(kLimit);
  auto first = std::make_unique<RequestShare>(memory, kStart);
  RequestShare second(memory, kStart);
  CHECK(first->Resize(kLimit / 2, kStart));
  CHECK(second.Resize(kLimit / 2, kStart));
  RequestShare waiting(memory, kStart);
  SUBCASE("none before it has stalled for long enough")
  {
    CHECK_FALSE(waiting.Resize(kLarge / 2, kStart + Millis(499)));
    CHECK_FALSE(first->MustGiveWay());
  }
  SUBCASE("the one without progress")
  {
    second.RecordProgress(kStart + Millis(100));
    auto now = kStart + RequestMemory::kStallTime + Millis(100);
    CHECK_FALSE(waiting.Resize(kLarge / 2, now));
    CHECK(first->MustGiveWay());
    CHECK_FALSE(waiting.Resize(kLarge / 2, now));
    CHECK_FALSE(second.MustGiveWay());
    first.reset();
    CHECK(waiting.Resize(kLarge / 2, now));
    CHECK_FALSE(second.MustGiveWay());
  }
  SUBCASE("none that has arrived")
  {
    first->Pin();
    second.Pin();
    CHECK_FALSE(waiting.Resize(kLarge / 2, kStart + Millis(60000)));
    CHECK_FALSE(first->MustGiveWay());
    CHECK_FALSE(second.MustGiveWay());
  }
}

TEST_CASE("a share returns its memory")
{
  auto memory = std::make_shared<RequestMemory>(kLimit);
  {
    RequestShare share(memory, kStart);
    CHECK(share.Resize(kLarge, kStart));
    CHECK(share.Resize(kLarge / 2, kStart));
    CHECK(memory->GetUsed() == kLarge / 2);
  }
  CHECK(memory->GetUsed() == 0);
  RequestShare unbounded(nullptr, kStart);
  CHECK(unbounded.Resize(std::size_t{ 1 } << 40, kStart));
  CHECK_FALSE(unbounded.MustGiveWay());
}

// Guards against trailers that replace fields of the header, such as a key
// (UNASKED).
TEST_CASE("fields of trailers do not reach the handler")
{
  RunServer(nullptr, [](const Endpoint& aPeer) {
    RawCaller caller(aPeer);
    CHECK(caller.Send(MakeHead("Transfer-Encoding: chunked") +
                      "2\r\nab\r\n0\r\nX: 2\r\n\r\n"));
    CHECK(caller.ReadToEnd(kAnswerTime).ends_with("[1,2]"));
  });
}

TEST_CASE("trailers with a malformed name are refused, and end the connection")
{
  for (const auto& line : ListMalformedNames()) {
    CAPTURE(line.name);
    RunServer(nullptr, [&line](const Endpoint& aPeer) {
      RawCaller caller(aPeer);
      CHECK(caller.Send(MakeHead("Transfer-Encoding: chunked") +
                        "2\r\nab\r\n0\r\nX: 2\r\n" + line.bytes + "\r\n"));
      auto answer = caller.ReadToEnd(kAnswerTime);
      CHECK(answer.starts_with("HTTP/1.1 400"));
      CHECK(answer.find("Connection: close\r\n") != std::string::npos);
      CHECK(caller.IsAtEnd());
    });
  }
}

// Guards against a read buffer that grows with what the parser can't take yet.
TEST_CASE("trailers and chunk lines over the limit of a header are refused")
{
  for (const std::string part : { "0\r\nX: ", "2;", "0" }) {
    CAPTURE(part);
    RunServer(nullptr, [&part](const Endpoint& aPeer) {
      RawCaller caller(aPeer);
      auto request = MakeHead("Transfer-Encoding: chunked");
      request += part;
      request.append(40000, part == "0" ? '0' : 'a');
      CHECK(caller.Send(request));
      CHECK(caller.ReadToEnd(kAnswerTime).starts_with("HTTP/1.1 431"));
    });
  }
}

// Guards against bodies that are read without memory for them, and against a
// refusal that does not state that the request has not run.
TEST_CASE("a body without memory is refused with 503 and a time to return")
{
  auto memory = std::make_shared<RequestMemory>(kLimit);
  RequestShare other(memory, kStart);
  CHECK(other.Resize(kLimit, kStart));
  other.Pin();
  RunServer(memory, [](const Endpoint& aPeer) {
    auto body = std::string(kLarge, 'x');
    for (const auto& request :
         { MakeHead("Content-Length: " + std::to_string(kLarge)) + body,
           MakeHead("Transfer-Encoding: chunked") + "927c0\r\n" + body +
             "\r\n0\r\n\r\n" }) {
      RawCaller caller(aPeer);
      CHECK(caller.Send(request));
      auto answer = caller.ReadToEnd(kAnswerTime);
      CHECK(answer.starts_with("HTTP/1.1 503"));
      CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
    }
    RawCaller small(aPeer);
    CHECK(
      small.Send(MakeHead("Content-Length: 10000") + std::string(10000, 'x')));
    CHECK(small.ReadToEnd(kAnswerTime).ends_with("[1,10000]"));
  });
  CHECK(memory->GetUsed() == kLimit);
}
