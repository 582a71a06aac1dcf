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

std::string
MakeResponse(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus +
         " Status\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
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

  void SetResponse(std::string aBytes, bool aOnKept)
  {
    std::scoped_lock lock(mutex_);
    bytes_ = std::move(aBytes);
    isOnKept_ = aOnKept;
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
  void Serve(RawServer::Peer& aPeer)
  {
    std::unique_lock lock(mutex_);
    auto bytes = bytes_;
    bool isOnKept = isOnKept_;
    lock.unlock();
    if (isOnKept && aPeer.ReadRequest()) {
      aPeer.Send(MakeResponse("200", "sound"));
    }
    if (aPeer.ReadRequest()) {
      aPeer.Send(bytes);
    }
    while (aPeer.ReadRequest()) {
      ++laterRequests_;
    }
  }

  std::mutex mutex_;
  std::string bytes_;
  bool isOnKept_ = false;
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
