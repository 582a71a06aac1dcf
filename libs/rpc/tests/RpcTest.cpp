#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <mutex>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include <unistd.h>

#include <BrokenHeads.h>
#include <JsonRpcBridge.h>
#include <RawServer.h>
#include <net/HttpClient.h>
#include <net/HttpServer.h>
#include <rpc/RpcClient.h>
#include <rpc/RpcServer.h>
#include <schema/Json.h>
#include <schema/control.pb.h>
#include <schema/log.pb.h>
#include <schema/weights.pb.h>

using namespace waxwingyoke;

namespace {

// Stores the response that a handler sends, without a socket.
class CapturingWriter : public net::ResponseWriter
{
public:
  bool Send(const net::HttpResponse& aResponse) override
  {
    response = aResponse;
    return true;
  }
  bool Start(int, const net::HttpFields&) override { return false; }
  bool Write(std::string_view) override { return false; }
  bool Finish() override { return false; }
  bool IsPeerDisconnected() override { return false; }
  bool IsStarted() const override { return true; }

  net::HttpResponse response;
};

rpc::BridgeResult
CallOffers(rpc::RpcServer& aServer, const std::string& aParams)
{
  return rpc::CallMethod(
    "weights.offers",
    aParams,
    [&aServer](const std::string& aRequest, std::string& aAnswer) {
      net::HttpRequest request;
      request.body = aRequest;
      CapturingWriter writer;
      aServer.Handle(request, writer);
      aAnswer = writer.response.body;
      return true;
    });
}

bool
AnswerOffers(const schema::OffersRequest& aRequest,
             schema::OffersReply& aReply,
             utils::Error& aError)
{
  if (aRequest.version().empty()) {
    aError.Set(utils::ErrorKind::NotFound, "no version");
    return false;
  }
  aReply.set_known(true);
  return true;
}

// A loopback address derived from the process id, so that tests that run in
// parallel do not collide; the port is below the ephemeral range.
net::Endpoint
MakeEndpoint()
{
  auto pid = static_cast<unsigned>(getpid());
  return { "127.79." + std::to_string(pid / 250 % 250) + "." +
             std::to_string(pid % 250 + 1),
           7305 };
}

/** What a link changes; bytes by their position in a body. */
struct Damage
{
  std::size_t requestByte = std::string::npos;
  std::size_t replyByte = std::string::npos;
  /** Both messages lose their header fields. */
  bool dropsFields = false;
};

void
FlipBit(std::string& aBody, std::size_t aAt)
{
  if (aAt < aBody.size()) {
    aBody[aAt] = static_cast<char>(aBody[aAt] ^ 1);
  }
}

schema::SyncRequest
MakeSyncRequest()
{
  schema::SyncRequest request;
  request.set_vm("side-1");
  request.set_config_offset(7);
  request.set_directory_id("d1");
  request.set_directory_version(42);
  return request;
}

schema::SyncReply
MakeSyncReply()
{
  constexpr std::size_t kDigestDigits = 64;
  schema::LogRecord record;
  record.set_id("id-7");
  auto& profile = *record.mutable_profile_change()->mutable_profile();
  profile.set_name("summaries");
  profile.set_version(std::string(kDigestDigits, 'a'));
  profile.mutable_vms()->set_group("engines");
  schema::SyncReply reply;
  auto& stored = *reply.add_records();
  stored.set_offset(7);
  stored.set_payload(record.SerializeAsString());
  reply.set_config_offset(8);
  reply.set_directory_version(43);
  auto& row = *reply.add_rows();
  row.mutable_vm()->set_id("side-2");
  row.mutable_vm()->set_group("engines");
  row.mutable_status()->set_started_ms(1700000000000);
  return reply;
}

/** Calls control.sync over a link that changes bytes. */
class DamagingLink
{
public:
  DamagingLink()
  {
    server_.Add<schema::SyncRequest, schema::SyncReply>(
      "control.sync", [this](const auto& aRequest, auto& aReply, auto&) {
        served = aRequest;
        aReply = MakeSyncReply();
        return true;
      });
  }

  /** Runs aTest beside the server. */
  void Run(const std::function<void()>& aTest)
  {
    net::Runtime runtime(1);
    runtime.Run([&] {
      utils::Error bindError;
      auto server = net::HttpServer::Builder(runtime)
                      .SetEndpoint(MakeEndpoint())
                      .SetHandler([this](const auto& aRequest, auto& aWriter) {
                        Forward(aRequest, aWriter);
                      })
                      .Build(bindError);
      REQUIRE_MESSAGE(server, bindError.detail);
      aTest();
      server->Close();
      return 0;
    });
  }

  bool Call(const Damage& aDamage, schema::SyncReply& aReply)
  {
    damage_ = aDamage;
    served.reset();
    net::HttpClient http;
    rpc::RpcClient client(http, "secret");
    return client.Call(MakeEndpoint(),
                       "control.sync",
                       MakeSyncRequest(),
                       aReply,
                       net::CallTimeouts(),
                       reason = {});
  }

  /** The request that the method received last; unset if it received none. */
  std::optional<schema::SyncRequest> served;
  utils::Error reason;
  std::size_t requestBytes = 0;
  std::size_t replyBytes = 0;

private:
  void Forward(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter)
  {
    auto request = aRequest;
    requestBytes = request.body.size();
    FlipBit(request.body, damage_.requestByte);
    if (damage_.dropsFields) {
      request.fields = {};
    }
    CapturingWriter writer;
    server_.Handle(request, writer);
    replyBytes = writer.response.body.size();
    FlipBit(writer.response.body, damage_.replyByte);
    if (damage_.dropsFields) {
      writer.response.fields = {};
    }
    aWriter.Send(writer.response);
  }

  rpc::RpcServer server_;
  Damage damage_;
};

std::vector<std::size_t>
ListPositions(std::size_t aCount)
{
  std::vector<std::size_t> positions(aCount);
  std::iota(positions.begin(), positions.end(), std::size_t(0));
  return positions;
}

bool
IsSame(const google::protobuf::Message& aLeft,
       const google::protobuf::Message& aRight)
{
  return aLeft.SerializeAsString() == aRight.SerializeAsString();
}

} // namespace

// Guards against a side whose configuration names a version that no operator
// published, since a link changed one byte of a record in a parent's reply.
TEST_CASE("a reply with a changed byte is not returned")
{
  DamagingLink link;
  link.Run([&] {
    schema::SyncReply reply;
    REQUIRE_MESSAGE(link.Call({}, reply), link.reason.detail);
    REQUIRE(IsSame(reply, MakeSyncReply()));
    auto positions = ListPositions(link.replyBytes);
    auto accepted = std::ranges::count_if(positions, [&](std::size_t aAt) {
      schema::SyncReply damaged;
      return link.Call({ std::string::npos, aAt, false }, damaged) &&
             !IsSame(damaged, MakeSyncReply());
    });
    MESSAGE(accepted << " of " << positions.size());
    CHECK(accepted == 0);
  });
}

// Guards against a reply that is read from what follows a broken head.
TEST_CASE("a reply whose head breaks HTTP is not returned")
{
  const std::string body = R"({"jsonrpc":"2.0","id":1,"result":{}})";
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
    net::HttpClient http;
    rpc::RpcClient client(http, "secret");
    auto call = [&](const std::string& aAnswer, utils::Error& aReason) {
      std::unique_lock lock(mutex);
      answer = aAnswer;
      lock.unlock();
      schema::SyncReply reply;
      return client.Call(
        MakeEndpoint(), "control.sync", MakeSyncRequest(), reply, {}, aReason);
    };
    utils::Error reason;
    CHECK_MESSAGE(call(net::MakeResponse("200", body), reason), reason.detail);
    for (const auto& broken : net::ListBrokenResponses("200", body)) {
      CAPTURE(broken);
      CHECK_FALSE(call(broken, reason));
      CHECK(reason.kind == utils::ErrorKind::ConnectionLost);
    }
    return 0;
  });
}

// Guards against directory rows and offers that no process sent, since a link
// changed one byte of the request that carries them.
TEST_CASE("a request with a changed byte reaches no method")
{
  DamagingLink link;
  link.Run([&] {
    schema::SyncReply reply;
    REQUIRE_MESSAGE(link.Call({}, reply), link.reason.detail);
    REQUIRE(IsSame(*link.served, MakeSyncRequest()));
    auto positions = ListPositions(link.requestBytes);
    auto accepted = std::ranges::count_if(positions, [&](std::size_t aAt) {
      link.Call({ aAt, std::string::npos, false }, reply);
      return link.served && !IsSame(*link.served, MakeSyncRequest());
    });
    MESSAGE(accepted << " of " << positions.size());
    CHECK(accepted == 0);
  });
}

// Guards against processes of two releases that refuse each other's messages
// while the newer release is rolled out.
TEST_CASE("messages of a release without check values are accepted")
{
  DamagingLink link;
  link.Run([&] {
    Damage older;
    older.dropsFields = true;
    schema::SyncReply reply;
    REQUIRE_MESSAGE(link.Call(older, reply), link.reason.detail);
    CHECK(IsSame(reply, MakeSyncReply()));
  });
}

TEST_CASE("a method receives its request and returns a reply or its error kind")
{
  rpc::RpcServer server;
  server.Add<schema::OffersRequest, schema::OffersReply>("weights.offers",
                                                         &AnswerOffers);
  auto good = CallOffers(server, R"({"version":"v"})");
  CHECK(good.code == 0);
  CHECK(good.text == R"({"known":true})");
  CHECK(CallOffers(server, "{}").code ==
        utils::GetErrorTraits(utils::ErrorKind::NotFound).rpcCode);
  CHECK(CallOffers(server, R"({"version":{}})").code ==
        utils::GetErrorTraits(utils::ErrorKind::BadRequest).rpcCode);
}

TEST_CASE("an unknown field of a newer release is skipped, whatever its type")
{
  rpc::RpcServer server;
  server.Add<schema::OffersRequest, schema::OffersReply>("weights.offers",
                                                         &AnswerOffers);
  auto newer = CallOffers(server, R"({"version":"v","newer":{"a":[1]}})");
  CHECK(newer.code == 0);
  CHECK(newer.text == R"({"known":true})");
}

TEST_CASE("a malformed request gets an error response and is not fatal")
{
  rpc::RpcServer server;
  for (const char* body : { "", "{", "[]", "{\"jsonrpc\":\"2.0\"}", "7" }) {
    net::HttpRequest request;
    request.body = body;
    CapturingWriter writer;
    server.Handle(request, writer);
    CHECK(writer.response.body.find("error") != std::string::npos);
  }
}
