// Calls to servers whose responses break HTTP in their head.

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

#include <net/HttpClient.h>
#include <net/Runtime.h>

#include "BrokenHeads.h"
#include "RawServer.h"

using namespace waxwingyoke;
using namespace waxwingyoke::net;

namespace {

Endpoint
MakeEndpoint()
{
  auto pid = static_cast<unsigned>(getpid());
  return { "127.78." + std::to_string(pid / 250 % 250) + "." +
             std::to_string(pid % 250 + 1),
           7303 };
}

/** Responses that begin with a head of this status. */
std::vector<std::string>
ListResponses(const std::string& aStatus)
{
  auto inner = MakeResponse("200", "inner");
  auto head = "HTTP/1.1 " + aStatus + " Status\r\n\r\n";
  return { MakeResponse(aStatus, "body"),
           MakeResponse(aStatus, ""),
           MakeResponse(aStatus, inner),
           head,
           head + inner,
           "HTTP/1.1 100 Continue\r\n\r\n" + MakeResponse(aStatus, "body") };
}

/**
 * A server and a client whose calls it answers as set. On a kept connection the
 * server first sends a sound response.
 */
class Exchanges
{
public:
  /** Runs aTest in a fiber. */
  explicit Exchanges(const std::function<void(Exchanges&)>& aTest)
  {
    REQUIRE(server_.IsListening());
    Runtime runtime(1);
    runtime.Run([&] {
      aTest(*this);
      return 0;
    });
  }

  /** The server pauses after the first aFirstBytes; 0: not at all. */
  void SetResponse(std::string aBytes,
                   bool aOnKept,
                   std::size_t aFirstBytes = 0)
  {
    std::scoped_lock lock(mutex_);
    bytes_ = std::move(aBytes);
    isOnKept_ = aOnKept;
    firstBytes_ = aFirstBytes;
    laterRequests_ = 0;
  }

  std::optional<HttpResponse> Call(utils::Error& aReason,
                                   bool aKeepConnection = true)
  {
    CallTimeouts timeouts;
    timeouts.head = utils::Millis(1000);
    CallOptions options;
    options.retryGet = false;
    options.keepConnection = aKeepConnection;
    return client_.Call(MakeEndpoint(), {}, timeouts, aReason, options);
  }

  /** Requests on connections that had carried the response that was set. */
  int GetLaterRequests() const { return laterRequests_; }

private:
  // Lets bytes that are sent in two parts arrive apart.
  static constexpr useconds_t kPauseUs = 2000;

  void Serve(RawServer::Peer& aPeer)
  {
    std::unique_lock lock(mutex_);
    auto bytes = bytes_;
    bool isOnKept = isOnKept_;
    auto firstBytes = firstBytes_;
    lock.unlock();
    if (isOnKept && aPeer.ReadRequest()) {
      aPeer.Send(MakeResponse("200", "sound"));
    }
    if (aPeer.ReadRequest()) {
      if (firstBytes > 0) {
        aPeer.Send(bytes.substr(0, firstBytes));
        usleep(kPauseUs);
      }
      aPeer.Send(bytes.substr(firstBytes));
    }
    while (aPeer.ReadRequest()) {
      ++laterRequests_;
    }
  }

  std::mutex mutex_;
  std::string bytes_;
  bool isOnKept_ = false;
  std::size_t firstBytes_ = 0;
  std::atomic<int> laterRequests_{ 0 };
  HttpClient client_;
  RawServer server_{ MakeEndpoint(),
                     [this](RawServer::Peer& aPeer) { Serve(aPeer); } };
};

/** No call gets one of aResponses, and each one's connection is closed. */
void
CheckRefused(const std::vector<std::string>& aResponses)
{
  Exchanges run([&aResponses](Exchanges& aRun) {
    for (const auto& bytes : aResponses) {
      for (bool isOnKept : { false, true }) {
        CAPTURE(bytes);
        CAPTURE(isOnKept);
        aRun.SetResponse(bytes, isOnKept);
        utils::Error reason;
        if (isOnKept) {
          REQUIRE(aRun.Call(reason));
        }
        CHECK_FALSE(aRun.Call(reason));
        // Not TimedOut: the call does not wait for another response.
        CHECK(reason.kind == utils::ErrorKind::ConnectionLost);
        // The server takes the next connection once the first is closed.
        aRun.SetResponse(MakeResponse("200", "next"), false);
        auto next = aRun.Call(reason, false);
        CHECK((next && next->body == "next"));
        CHECK(aRun.GetLaterRequests() == 0);
      }
    }
  });
}

} // namespace

// Guards against a status below 100 that is taken for that of an interim
// response, whose own body then passes as the response, and against one above
// 599 that is delivered.
TEST_CASE("a response whose status has no class is refused")
{
  for (const auto& status : ListClasslessStatuses()) {
    CheckRefused(ListResponses(status));
  }
}

// Guards against a connection that counts as upgraded although no request asks
// for that.
TEST_CASE("a response that switches protocols is refused")
{
  CheckRefused(ListResponses("101"));
}

TEST_CASE("a response with a malformed name in its head or trailers is refused")
{
  std::vector<std::string> responses;
  for (const auto& line : ListMalformedNames()) {
    responses.push_back(MakeResponse("200", "body", line.bytes));
    responses.push_back("HTTP/1.1 200 OK\r\n" + line.bytes +
                        "Content-Length: 4\r\n\r\nbody");
    responses.push_back("HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line.bytes +
                        "\r\n" + MakeResponse("200", "body"));
    responses.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "4\r\nbody\r\n0\r\nX-Sum: 1\r\n" +
                        line.bytes + "\r\n");
  }
  CheckRefused(responses);
}

// Guards against a line that is taken for a part of the value before it, which
// it changes, although its sender may have meant a field that frames the body.
TEST_CASE("a response with a line that begins with a blank is refused")
{
  std::vector<std::string> responses;
  for (const auto& line : ListFoldedLines()) {
    responses.push_back(MakeResponse("200", "body", line.bytes));
    responses.push_back("HTTP/1.1 200 OK\r\n" + line.bytes +
                        "Content-Length: 4\r\n\r\nbody");
    responses.push_back("HTTP/1.1 200 OK\r\nA:\r\n" + line.bytes +
                        "Content-Length: 4\r\n\r\nbody");
    responses.push_back("HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line.bytes +
                        "\r\n" + MakeResponse("200", "body"));
  }
  CheckRefused(responses);
}

// Guards against a check of lines that a head's parts change, or that takes
// bytes of a body for a head.
TEST_CASE("a head that arrives in parts is checked as a whole")
{
  const std::string sound =
    "HTTP/1.1 200 OK\r\nA: b  c\td \r\nContent-Length: 7\r\n\r\n\r\n body";
  const std::string folded =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: b\r\n c\r\n\r\nbody";
  Exchanges run([&](Exchanges& aRun) {
    for (std::size_t at = 1; at < folded.size(); ++at) {
      CAPTURE(at);
      utils::Error reason;
      aRun.SetResponse(sound, false, at);
      auto response = aRun.Call(reason, false);
      CHECK((response && response->body == "\r\n body"));
      CHECK((response && response->fields.Find("A") == "b  c\td"));
      aRun.SetResponse(folded, false, at);
      CHECK_FALSE(aRun.Call(reason));
    }
  });
}

TEST_CASE("the first and last statuses of each class are accepted")
{
  Exchanges run([](Exchanges& aRun) {
    for (const auto* status :
         { "200", "299", "300", "399", "400", "499", "500", "599" }) {
      CAPTURE(status);
      aRun.SetResponse(MakeResponse(status, "body"), false);
      utils::Error reason;
      auto response = aRun.Call(reason, false);
      REQUIRE(response);
      CHECK(std::to_string(response->status) == status);
      CHECK(response->body == "body");
    }
    for (const auto* status : { "100", "102", "199" }) {
      CAPTURE(status);
      aRun.SetResponse("HTTP/1.1 " + std::string(status) + " Status\r\n\r\n" +
                         MakeResponse("200", "body"),
                       false);
      utils::Error reason;
      auto response = aRun.Call(reason, false);
      REQUIRE(response);
      CHECK(response->status == 200);
      CHECK(response->body == "body");
    }
  });
}
