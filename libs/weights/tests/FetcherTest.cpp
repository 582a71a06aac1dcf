// Fetches from sources that answer with something else than the object.

#include <doctest/doctest.h>

#include <atomic>
#include <sstream>
#include <string>
#include <utility>

#include <unistd.h>

#include <BrokenHeads.h>
#include <Fetcher.h>
#include <RawServer.h>
#include <net/Runtime.h>

using namespace waxwingyoke;
using namespace waxwingyoke::weights;
using utils::Millis;

namespace {

constexpr Millis kDeadline(300);

net::Endpoint
MakeEndpoint()
{
  auto pid = static_cast<unsigned>(getpid());
  return { "127.76." + std::to_string(pid / 250 % 250) + "." +
             std::to_string(pid % 250 + 1),
           7307 };
}

/** Fetches one object from a server that runs aScript; the error's kind. */
utils::ErrorKind
FetchFrom(net::RawServer::Script aScript)
{
  auto endpoint = MakeEndpoint();
  net::RawServer server(endpoint, std::move(aScript));
  REQUIRE(server.IsListening());
  utils::Error reason;
  net::Runtime runtime(1);
  runtime.Run([&] {
    net::HttpClient http;
    net::Pacer link(0);
    FetchRequest request;
    request.source = endpoint;
    request.path = "/manifests/a";
    request.maxBytes = 1;
    request.deadline = kDeadline;
    request.shouldContinue = [] { return true; };
    request.onBytes = [](std::size_t) {};
    CHECK(!Fetcher(http, link).Fetch(request, reason));
    return 0;
  });
  return reason.kind;
}

constexpr const char* kErrorHead =
  "HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n";

/** One chunk of a body. */
std::string
MakeChunk(std::size_t aBytes)
{
  std::ostringstream size;
  size << std::hex << aBytes;
  return size.str() + "\r\n" + std::string(aBytes, 'x') + "\r\n";
}

} // namespace

// Guards against a transfer that never fetches its manifest, since a source
// sends the body of an error without end.
TEST_CASE("a fetch ends although the body of an error has no end")
{
  const auto chunk = MakeChunk(64 << 10);
  std::atomic<std::size_t> sent{ 0 };
  auto kind = FetchFrom([&](net::RawServer::Peer& aPeer) {
    bool open = aPeer.ReadRequest() && aPeer.Send(kErrorHead);
    while (open && sent < net::RawServer::kMaxSent) {
      open = aPeer.Send(chunk);
      sent += chunk.size();
    }
  });
  CHECK(kind == utils::ErrorKind::NotFound);
  CHECK(sent < net::RawServer::kMaxSent);
}

// Guards against the same with bytes that arrive one by one, each within the
// timeout of a read.
TEST_CASE("a fetch ends although the body of an error arrives slowly")
{
  constexpr int kParts = 100;
  constexpr useconds_t kPauseMicros = 50000;
  const auto chunk = MakeChunk(1);
  std::atomic<int> sent{ 0 };
  auto kind = FetchFrom([&](net::RawServer::Peer& aPeer) {
    bool open = aPeer.ReadRequest() && aPeer.Send(kErrorHead);
    while (open && sent < kParts) {
      open = aPeer.Send(chunk);
      ++sent;
      usleep(kPauseMicros);
    }
  });
  CHECK(kind == utils::ErrorKind::NotFound);
  CHECK(sent < kParts);
}

// Guards against the body of a broken answer that passes as the object, or that
// delays the fetch to its deadline.
TEST_CASE("a fetch from a source whose head breaks HTTP fails at once")
{
  for (const auto& broken : net::ListBrokenResponses("200", "x")) {
    CAPTURE(broken);
    auto kind = FetchFrom([&](net::RawServer::Peer& aPeer) {
      while (aPeer.ReadRequest()) {
        aPeer.Send(broken);
      }
    });
    CHECK(kind == utils::ErrorKind::ConnectionLost);
  }
}
