#include <doctest/doctest.h>

#include <JsonRpcBridge.h>
#include <rpc/RpcServer.h>
#include <schema/Json.h>
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

} // namespace

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
