// Answers of the platform's services whose head breaks HTTP.

#include <doctest/doctest.h>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <unistd.h>

#include <BrokenHeads.h>
#include <RawServer.h>
#include <net/Runtime.h>
#include <platform/EngineClient.h>
#include <platform/LogClient.h>
#include <platform/StoreClient.h>
#include <platform/VmListClient.h>
#include <utils/Digest.h>

using namespace waxwingyoke;
using namespace waxwingyoke::platform;
using utils::ErrorKind;
using utils::Millis;

namespace {

const std::string kChunk = "chunk";

net::Endpoint
MakeEndpoint()
{
  auto pid = static_cast<unsigned>(getpid());
  return { "127.81." + std::to_string(pid / 250 % 250) + "." +
             std::to_string(pid % 250 + 1),
           7308 };
}

/** One call of a client, with a body that answers it. */
struct ServiceCall
{
  const char* name;
  std::string body;
  /** Whether it got a value; sets the reason if not. */
  std::function<bool(net::HttpClient&, utils::Error&)> run;
};

std::vector<ServiceCall>
ListCalls()
{
  return {
    { "append",
      R"({"offset":1})",
      [](auto& aClient, auto& aReason) {
        return LogClient(aClient, MakeEndpoint())
          .Append("stream", "{}", aReason)
          .has_value();
      } },
    { "records",
      "{}",
      [](auto& aClient, auto& aReason) {
        return LogClient(aClient, MakeEndpoint())
          .Read("stream", 0, 1, Millis(0), aReason)
          .has_value();
      } },
    { "list of VMs",
      "{}",
      [](auto& aClient, auto& aReason) {
        return VmListClient(aClient, MakeEndpoint()).Read(aReason).has_value();
      } },
    { "chunk",
      kChunk,
      [](auto& aClient, auto& aReason) {
        return StoreClient(aClient)
          .GetChunk(MakeEndpoint(), utils::Digest::Of(kChunk), {}, {}, aReason)
          .has_value();
      } },
    { "state of an engine",
      "{}",
      [](auto& aClient, auto& aReason) {
        return EngineClient(aClient, MakeEndpoint())
          .GetState(aReason)
          .has_value();
      } },
    { "load of an engine",
      "{}",
      [](auto& aClient, auto& aReason) {
        return EngineClient(aClient, MakeEndpoint())
          .Load({}, Millis(1000), aReason)
          .has_value();
      } },
  };
}

} // namespace

// Guards against a broken answer that passes as one of the log, the list of
// VMs, the store or an engine.
TEST_CASE("a broken answer of a service is no answer")
{
  std::mutex mutex;
  std::string answer;
  net::RawServer server(MakeEndpoint(), [&](net::RawServer::Peer& aPeer) {
    while (aPeer.ReadRequest()) {
      std::scoped_lock lock(mutex);
      aPeer.Send(answer);
    }
  });
  REQUIRE(server.IsListening());
  net::Runtime runtime(1);
  runtime.Run([&] {
    net::HttpClient client;
    auto run = [&](const ServiceCall& aCall,
                   const std::string& aAnswer,
                   utils::Error& aReason) {
      std::unique_lock lock(mutex);
      answer = aAnswer;
      lock.unlock();
      return aCall.run(client, aReason);
    };
    for (const auto& call : ListCalls()) {
      CAPTURE(call.name);
      utils::Error reason;
      CHECK_MESSAGE(run(call, net::MakeResponse("200", call.body), reason),
                    reason.detail);
      for (const auto& broken : net::ListBrokenResponses("200", call.body)) {
        CAPTURE(broken);
        CHECK_FALSE(run(call, broken, reason));
        CHECK(reason.kind != ErrorKind::TimedOut);
        // Nothing proves that nothing was done.
        CHECK((std::string(call.name) != "append" ||
               reason.kind == ErrorKind::OutcomeUnknown));
      }
    }
    return 0;
  });
}
