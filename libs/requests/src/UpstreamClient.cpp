#include "UpstreamClient.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>

#include <net/Runtime.h>
#include <platform/EngineClient.h>

#include "CallerRequest.h"
#include "FingerprintChecker.h"

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr Millis kConnectTimeout(1000);
constexpr Millis kControlTimeout(2000);
constexpr int kServerError = 500;
constexpr int kCrashProbes = 5;
constexpr Millis kCrashProbeInterval(100);

// Header fields that apply to one connection, or that each HTTP server sets
// itself.
constexpr std::array<std::string_view, 5> kHopByHopFields{ "Transfer-Encoding",
                                                           "Content-Length",
                                                           "Connection",
                                                           "Keep-Alive",
                                                           "Server" };

bool
IsHopByHopField(const net::HttpField& aField)
{
  net::HttpFields single{ aField };
  return std::ranges::any_of(
    kHopByHopFields,
    [&single](std::string_view aName) { return !single.Find(aName).empty(); });
}

schema::AnswerHead
MakeHead(const net::ResponseStream& aStream, const std::string& aVersion)
{
  schema::AnswerHead head;
  head.set_status(aStream.GetStatus());
  head.set_version(aVersion);
  for (const auto& field : aStream.GetFields()) {
    if (!IsHopByHopField(field)) {
      auto* copy = head.add_fields();
      copy->set_name(field.name);
      copy->set_value(field.value);
    }
  }
  return head;
}

// Inserts the fields for the engine at the start of the JSON body. The entry
// rejects requests with a request_id of their own. For engines a larger
// priority is more urgent, so the value is inverted.
std::string
AddEngineFields(const schema::AttemptRequest& aRequest)
{
  const auto& body = aRequest.body();
  auto brace = body.find('{');
  if (brace == std::string::npos) {
    return body;
  }
  auto fields = "\"request_id\":\"" + aRequest.attempt() + "\"";
  if (body.find("\"priority\"") == std::string::npos) {
    fields +=
      ",\"priority\":" + std::to_string(kLowestPriority - aRequest.priority());
  }
  auto rest = body.substr(brace + 1);
  auto next = rest.find_first_not_of(" \t\r\n");
  bool isEmpty = next == std::string::npos || rest[next] == '}';
  return "{" + fields + (isEmpty ? "" : ",") + rest;
}

} // namespace

UpstreamClient::UpstreamClient(net::HttpClient& aClient,
                               const Upstream& aUpstream)
  : client_(aClient)
  , upstream_(aUpstream)
{
}

net::HttpRequest
UpstreamClient::MakeRequest(const schema::AttemptRequest& aRequest) const
{
  net::HttpRequest request;
  request.method = aRequest.method();
  request.target = aRequest.path();
  for (const auto& field : aRequest.fields()) {
    request.fields.Add(field.name(), field.value());
  }
  request.fields.Set("traceparent", aRequest.traceparent());
  request.body =
    upstream_.isEngine ? AddEngineFields(aRequest) : aRequest.body();
  return request;
}

bool
UpstreamClient::Run(const schema::AttemptRequest& aRequest,
                    const std::string& aVersion,
                    Millis aDeadline,
                    Answer& aAnswer,
                    utils::Error& aReason)
{
  auto remaining = std::max(aDeadline - clock_.Now(), Millis(1));
  net::CallTimeouts timeouts{ std::min(remaining, kConnectTimeout),
                              remaining,
                              remaining };
  auto incarnation = GetIncarnation();
  // The upstream's answers name no attempt, so on a connection of its own only
  // can none repeat an earlier one.
  net::CallOptions options;
  options.reuseConnection = false;
  options.keepConnection = false;
  auto stream = client_.Open(
    upstream_.endpoint, MakeRequest(aRequest), timeouts, aReason, options);
  // A server error of an engine is a failed attempt, not an answer. One of a
  // plain service is part of its interface and is passed on to the caller.
  if (stream && upstream_.isEngine && stream->GetStatus() >= kServerError) {
    aReason.Set(ErrorKind::UpstreamFailed,
                "the engine answered " + std::to_string(stream->GetStatus()));
    return false;
  }
  if (stream) {
    aAnswer.SetHead(MakeHead(*stream, aVersion));
  }
  bool isComplete =
    stream && CopyAnswer(*stream, aVersion, aDeadline, aAnswer, aReason);
  // The close alone marks the end, and an upstream that crashes closes too.
  if (isComplete && stream->GetFraming() == net::BodyFraming::Close &&
      HasCrashed(incarnation)) {
    aReason.Set(ErrorKind::UpstreamFailed,
                "the upstream crashed when it closed its answer");
    return false;
  }
  if (isComplete || aReason.kind == ErrorKind::ConnectFailed) {
    return isComplete;
  }
  bool isLate = aReason.kind == ErrorKind::TimedOut;
  if (isLate || aAnswer.IsCancelled() ||
      aReason.kind == ErrorKind::VersionChanged) {
    stream.reset();
    Cancel(aRequest.attempt());
  }
  if (isLate) {
    aReason.kind = ErrorKind::DeadlineExceeded;
  } else if (aReason.kind == ErrorKind::ConnectionLost) {
    aReason.kind = ErrorKind::UpstreamFailed;
  }
  return false;
}

bool
UpstreamClient::CopyAnswer(net::ResponseStream& aStream,
                           const std::string& aVersion,
                           Millis aDeadline,
                           Answer& aAnswer,
                           utils::Error& aReason)
{
  FingerprintChecker fingerprints(aVersion);
  std::string part;
  while (true) {
    auto remaining = std::max(aDeadline - clock_.Now(), Millis(1));
    auto result = aStream.Read(part, remaining, aReason);
    if (result == net::ReadResult::End) {
      return true;
    }
    if (result == net::ReadResult::Failed) {
      return false;
    }
    if (upstream_.isEngine && !fingerprints.Check(part)) {
      aReason.Set(ErrorKind::VersionChanged,
                  "the answer was generated by another version");
      return false;
    }
    if (!aAnswer.Append(part)) {
      aReason.Set(ErrorKind::AnswerBroken,
                  "the answer was cancelled or is too long");
      return false;
    }
  }
}

void
UpstreamClient::Cancel(const std::string& aAttempt)
{
  if (!upstream_.isEngine) {
    return;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/requests/" + aAttempt + "/cancel";
  net::CallTimeouts timeouts{ kConnectTimeout,
                              kControlTimeout,
                              kControlTimeout };
  // Best effort: if the engine has exited, the attempt has ended as well.
  utils::Error ignored;
  client_.Call(upstream_.endpoint, request, timeouts, ignored);
}

std::string
UpstreamClient::FetchIncarnation(utils::Error& aReason)
{
  platform::EngineClient engine(client_, upstream_.endpoint);
  auto state = engine.GetState(aReason);
  return state ? state->incarnation() : std::string();
}

void
UpstreamClient::PollIncarnation()
{
  utils::Error ignored;
  auto incarnation = upstream_.isEngine ? FetchIncarnation(ignored) : "";
  if (!incarnation.empty() && incarnation != *incarnation_.Get()) {
    incarnation_.Set(std::make_shared<const std::string>(incarnation));
  }
}

bool
UpstreamClient::HasCrashed(const std::string& aIncarnation)
{
  // A process that is exiting may still accept connections and drop them, so
  // a probe whose connection is dropped is repeated.
  for (int i = 0; i < kCrashProbes; ++i) {
    if (auto hasCrashed = ProbeForCrash(aIncarnation)) {
      return *hasCrashed;
    }
    net::Runtime::Sleep(kCrashProbeInterval);
  }
  return true;
}

std::optional<bool>
UpstreamClient::ProbeForCrash(const std::string& aIncarnation)
{
  utils::Error reason;
  if (upstream_.isEngine) {
    auto incarnation = FetchIncarnation(reason);
    if (!incarnation.empty()) {
      return !aIncarnation.empty() && incarnation != aIncarnation;
    }
  } else if (SendOptions(reason)) {
    return false;
  }
  if (reason.kind == ErrorKind::ConnectionLost) {
    return std::nullopt;
  }
  return reason.kind == ErrorKind::ConnectFailed;
}

bool
UpstreamClient::SendOptions(utils::Error& aReason)
{
  // OPTIONS has no side effects on a service that complies with HTTP.
  net::HttpRequest request;
  request.method = "OPTIONS";
  net::CallTimeouts timeouts{ kConnectTimeout,
                              kControlTimeout,
                              kControlTimeout };
  net::CallOptions options;
  bool isHeadBroken = false;
  options.isHeadBroken = &isHeadBroken;
  return client_.Call(upstream_.endpoint, request, timeouts, aReason, options)
           .has_value() ||
         isHeadBroken;
}

} // namespace waxwingyoke::requests
