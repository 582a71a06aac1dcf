#include <doctest/doctest.h>

#include <memory>
#include <string>

#include <unistd.h>

#include <net/HttpServer.h>
#include <net/Runtime.h>

#include "Answer.h"
#include "AttemptCall.h"
#include "AttemptRegistry.h"
#include "CallerSink.h"

using namespace waxwingyoke;
using namespace waxwingyoke::requests;
using utils::Millis;

namespace {

net::Endpoint
MakeEndpoint()
{
  auto pid = static_cast<unsigned>(getpid());
  return { "127.84." + std::to_string(pid / 250 % 250) + "." +
             std::to_string(pid % 250 + 1),
           7306 };
}

/** A caller that stays connected and reads nothing. */
class SilentWriter : public net::ResponseWriter
{
public:
  bool Send(const net::HttpResponse&) override { return true; }
  bool Start(int, const net::HttpFields&) override { return true; }
  bool Write(std::string_view) override { return true; }
  bool Finish() override { return true; }
  bool IsPeerDisconnected() override { return false; }
  bool IsStarted() const override { return false; }
};

/**
 * A side that runs an attempt to its end, evicts it, and whose connection
 * breaks without an answer. Its time and that of the entry are simulated.
 */
class EvictingSide
{
public:
  EvictingSide(net::Runtime& aRuntime, Millis aAttemptTime)
    : attemptTime_(aAttemptTime)
  {
    utils::Error reason;
    server_ = net::HttpServer::Builder(aRuntime)
                .SetEndpoint(MakeEndpoint())
                .SetHandler([this](const auto& aRequest, auto& aWriter) {
                  if (aRequest.target == "/attempts") {
                    RunAttempt(aRequest);
                    // A response that does not end closes the connection.
                    aWriter.Start(200, {});
                  } else {
                    AnswerQuery(aRequest, aWriter);
                  }
                })
                .Build(reason);
    REQUIRE(server_);
  }

  Millis GetTime() const { return now_; }
  schema::AttemptState GetReported() const { return reported_; }

private:
  void RunAttempt(const net::HttpRequest& aRequest)
  {
    constexpr Millis kTransit(1);
    schema::AttemptRequest request;
    REQUIRE(request.ParseFromString(aRequest.body));
    now_ = now_ + kTransit;
    attempts_.Begin(request.attempt(), std::make_shared<Answer>(), now_);
    now_ = now_ + attemptTime_;
    attempts_.Finish(request.attempt(), schema::FINISHED, 1, now_);
    attempts_.Expire(now_);
  }

  void AnswerQuery(const net::HttpRequest& aRequest,
                   net::ResponseWriter& aWriter)
  {
    constexpr Millis kTransit(500);
    schema::AttachRequest request;
    REQUIRE(request.ParseFromString(aRequest.body));
    now_ = now_ + kTransit;
    reported_ =
      attempts_.QueryOrBar(request.attempt(), Millis(request.age_ms()), now_);
    schema::AnswerFrame frame;
    auto kind = reported_ == schema::BARRED ? utils::ErrorKind::Barred
                                            : utils::ErrorKind::OutcomeUnknown;
    frame.mutable_end()->set_error(std::string(utils::GetName(kind)));
    net::HttpResponse response;
    AppendFrame(frame, response.body);
    aWriter.Send(response);
  }

  Millis attemptTime_;
  Millis now_{ 1000000 };
  AttemptRegistry attempts_{ {} };
  schema::AttemptState reported_ = schema::RUNNING;
  std::unique_ptr<net::HttpServer> server_;
};

} // namespace

// Guards against a request that runs twice: its side had evicted the finished
// attempt, and the entry stated an age that lacked the time in transit, or in
// which the entry's VM was suspended.
TEST_CASE("an attempt that ran and was evicted is not reported as not run")
{
  net::Runtime runtime(1);
  runtime.Run([&] {
    constexpr Millis kAttemptTime(31 * 60 * 1000);
    constexpr Millis kCallTime(10000);
    EvictingSide side(runtime, kAttemptTime);
    net::HttpClient client;
    rpc::RpcClient rpc(client, "secret");
    AttemptCall call(
      client, rpc, "secret", utils::Clock([&] { return side.GetTime(); }));
    SilentWriter writer;
    CallerSink sink(writer, false);
    schema::AttemptRequest request;
    request.set_attempt("attempt");
    utils::Clock clock;
    auto result = call.Run({ MakeEndpoint(), "incarnation" },
                           request,
                           { clock.Now() + kCallTime, kCallTime },
                           sink);
    CHECK(side.GetReported() == schema::FORGOTTEN);
    CHECK(utils::GetErrorTraits(result.error.kind).run !=
          utils::RunOutcome::No);
    return 0;
  });
}

// Guards against a status that a side of an earlier release has taken from a
// broken answer of its upstream.
TEST_CASE("an answer is delivered only with a status of a final response")
{
  constexpr Millis kCallTime(10000);
  const std::string body = "body";
  int status = 0;
  auto answer = [&](const net::HttpRequest& aRequest, auto& aWriter) {
    net::HttpResponse response;
    if (aRequest.target == "/attempts") {
      schema::AnswerFrame frame;
      frame.mutable_head()->set_status(status);
      AppendFrame(frame, response.body);
      AppendData(body, response.body);
      auto& end = *frame.mutable_end();
      end.set_error(std::string(utils::GetName(utils::ErrorKind::None)));
      end.set_incarnation("incarnation");
      end.set_data_bytes(body.size());
      end.set_digest(utils::Digest::Of(body).ToHex());
      AppendFrame(frame, response.body);
    }
    aWriter.Send(response);
  };
  net::Runtime runtime(1);
  runtime.Run([&] {
    utils::Error bindError;
    auto server = net::HttpServer::Builder(runtime)
                    .SetEndpoint(MakeEndpoint())
                    .SetHandler(answer)
                    .Build(bindError);
    REQUIRE_MESSAGE(server, bindError.detail);
    net::HttpClient client;
    rpc::RpcClient rpc(client, "secret");
    AttemptCall call(client, rpc, "secret");
    auto run = [&](int aStatus) {
      status = aStatus;
      SilentWriter writer;
      CallerSink sink(writer, false);
      schema::AttemptRequest request;
      request.set_attempt("attempt");
      utils::Clock clock;
      return call
        .Run({ MakeEndpoint(), "incarnation" },
             request,
             { clock.Now() + kCallTime, kCallTime },
             sink)
        .error;
    };
    for (int sound : { 200, 204, 404, 500, 599 }) {
      CAPTURE(sound);
      auto error = run(sound);
      CHECK_MESSAGE(!error.IsSet(), error.detail);
    }
    for (int broken : { 0, 99, 100, 101, 199, 600, 999 }) {
      CAPTURE(broken);
      CHECK(run(broken).kind == utils::ErrorKind::UpstreamFailed);
    }
    return 0;
  });
}
