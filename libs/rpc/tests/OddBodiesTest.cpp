// Bodies that are no sound JSON-RPC, on a fiber's stack.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include <FiberStack.h>
#include <JsonRpcBridge.h>
#include <rpc/RpcServer.h>
#include <schema/Json.h>
#include <schema/control.pb.h>
#include <schema/weights.pb.h>

using namespace waxwingyoke;

namespace {

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

std::string
Repeat(const std::string& aText, int aCount)
{
  std::string repeated;
  for (int i = 0; i < aCount; ++i) {
    repeated += aText;
  }
  return repeated;
}

std::vector<std::string>
MakeNested()
{
  std::vector<std::string> texts;
  for (int depth : { 90, 500, 700, 950, 1100, 100000 }) {
    texts.push_back(Repeat("[", depth) + "1" + Repeat("]", depth));
    texts.push_back(Repeat(R"({"a":)", depth) + "1" + Repeat("}", depth));
    texts.push_back(Repeat(R"([{"a":)", depth));
  }
  return texts;
}

/** The server's answer to a body. */
std::string
Handle(const std::string& aBody)
{
  rpc::RpcServer server;
  server.Add<schema::OffersRequest, schema::OffersReply>(
    "weights.offers",
    [](const auto&, schema::OffersReply& aReply, utils::Error&) {
      aReply.set_known(true);
      return true;
    });
  net::HttpRequest request;
  request.body = aBody;
  CapturingWriter writer;
  server.Handle(request, writer);
  return writer.response.body;
}

std::string
MakeRequest(const std::string& aParams, const std::string& aId = "1")
{
  return R"({"jsonrpc":"2.0","method":"weights.offers","id":)" + aId +
         R"(,"params":)" + aParams + "}";
}

} // namespace

// Guards against a process that ends since a body is nested more deeply than a
// fiber's stack allows.
TEST_CASE("a deeply nested body gets an error response")
{
  net::RunOnFiber([] {
    REQUIRE(Handle(MakeRequest("{}")).find("known") != std::string::npos);
    for (const auto& nested : MakeNested()) {
      for (const auto& body :
           { nested,
             MakeRequest(R"({"odd":)" + nested + "}"),
             MakeRequest("{}", nested),
             "/* \" */" + MakeRequest(R"({"odd":)" + nested + "}") }) {
        CHECK(Handle(body).find("error") != std::string::npos);
      }
    }
  });
}

TEST_CASE("a deeply nested reply is an error of the call")
{
  net::RunOnFiber([] {
    for (const auto& nested : MakeNested()) {
      for (const auto& reply :
           { nested, R"({"jsonrpc":"2.0","id":1,"result":)" + nested + "}" }) {
        auto result = rpc::CallMethod(
          "m", "{}", [&](const std::string&, std::string& aAnswer) {
            aAnswer = reply;
            return true;
          });
        CHECK(result.code != 0);
      }
    }
  });
}

TEST_CASE("a deeply nested text is no message")
{
  net::RunOnFiber([] {
    for (const auto& nested : MakeNested()) {
      for (const auto& text : { nested, R"({"version":)" + nested + "}" }) {
        schema::OffersRequest message;
        utils::Error reason;
        CHECK_FALSE(schema::FromJson(text, message, reason));
        CHECK_FALSE(schema::FromPeerJson(text, message, reason));
      }
      schema::OffersRequest message;
      utils::Error reason;
      CHECK_FALSE(
        schema::FromPeerJson(R"({"odd":)" + nested + "}", message, reason));
    }
  });
}

// Guards against a process that ends since a member has another type, or a
// number out of range.
TEST_CASE("a body with members of other types gets a response")
{
  net::RunOnFiber([] {
    for (const auto* value : { "null",
                               "true",
                               "[]",
                               "{}",
                               "[[],{}]",
                               "-1",
                               "0.5",
                               "1e400",
                               "1e300",
                               "18446744073709551616",
                               "\"\xff\"",
                               "\"\\u0000\"",
                               R"("\ud800")" }) {
      CAPTURE(value);
      std::string text(value);
      CHECK_FALSE(Handle(text).empty());
      CHECK_FALSE(Handle("[" + text + "]").empty());
      CHECK_FALSE(Handle(MakeRequest(text)).empty());
      CHECK_FALSE(Handle(MakeRequest(R"({"version":)" + text + "}")).empty());
      CHECK_FALSE(Handle(MakeRequest("{}", text)).empty());
      CHECK_FALSE(
        Handle(R"({"jsonrpc":)" + text + R"(,"method":"m","id":1})").empty());
      CHECK_FALSE(
        Handle(R"({"jsonrpc":"2.0","method":)" + text + R"(,"id":1})").empty());
      CHECK_FALSE(
        Handle(R"({"jsonrpc":"2.0","method":"weights.offers","method":)" +
               text + R"(,"params":{},"id":1})")
          .empty());
    }
    CHECK_FALSE(Handle(std::string(1, '\0')).empty());
  });
}

TEST_CASE("a reply with members of other types is an error of the call")
{
  net::RunOnFiber([] {
    for (const std::string reply :
         { "null",
           "[]",
           "7",
           "{}",
           R"({"jsonrpc":2,"id":1,"result":{}})",
           R"({"jsonrpc":"2.0","id":[],"error":7})",
           R"({"jsonrpc":"2.0","id":1,"error":{"code":"x","message":[]}})",
           R"({"jsonrpc":"2.0","id":1,"error":{"code":1e300,"message":"m"}})",
           R"({"jsonrpc":"2.0","id":1,"error":{"code":0,"message":"m"}})",
           R"([{"jsonrpc":"2.0","id":1,"result":{}}])" }) {
      CAPTURE(reply);
      auto result = rpc::CallMethod(
        "m", "{}", [&](const std::string&, std::string& aAnswer) {
          aAnswer = reply;
          return true;
        });
      CHECK(result.code != 0);
    }
  });
}
