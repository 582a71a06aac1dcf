#include "UpstreamRun.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>

#include <net/Runtime.h>
#include <platform/EngineClient.h>

#include "CallerRequest.h"
#include "Fingerprints.h"

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr Millis kConnectTimeout(1000);
constexpr Millis kControlTimeout(2000);
constexpr int kServerError = 500;
constexpr int kDeathLooks = 5;
constexpr Millis kDeathPause(100);

// Fields that belong to one connection, or that the hop sets itself.
constexpr std::array<std::string_view, 5> kHopFields{ "Transfer-Encoding",
                                                      "Content-Length",
                                                      "Connection",
                                                      "Keep-Alive",
                                                      "Server" };

bool
IsHopField(const net::HttpField& aField)
{
  net::HttpFields one{ aField };
  return std::ranges::any_of(kHopFields, [&one](std::string_view aName) {
    return !one.Find(aName).empty();
  });
}

schema::AnswerHead
MakeHead(const net::ResponseStream& aStream, const std::string& aVersion)
{
  schema::AnswerHead head;
  head.set_status(aStream.GetStatus());
  head.set_version(aVersion);
  for (const auto& field : aStream.GetFields()) {
    if (!IsHopField(field)) {
      auto* copy = head.add_fields();
      copy->set_name(field.name);
      copy->set_value(field.value);
    }
  }
  return head;
}

// What the engine is told of a request goes in first; the entry lets no
// request_id of a caller's own through. Engines take high for urgent.
std::string
AddEngineFields(const schema::AttemptRequest& aRequest)
{
  const auto& body = aRequest.body();
  auto open = body.find('{');
  if (open == std::string::npos) {
    return body;
  }
  auto fields = "\"request_id\":\"" + aRequest.attempt() + "\"";
  if (body.find("\"priority\"") == std::string::npos) {
    fields +=
      ",\"priority\":" + std::to_string(kLowestPriority - aRequest.priority());
  }
  auto rest = body.substr(open + 1);
  auto next = rest.find_first_not_of(" \t\r\n");
  bool isEmpty = next == std::string::npos || rest[next] == '}';
  return "{" + fields + (isEmpty ? "" : ",") + rest;
}

} // namespace

UpstreamRun::UpstreamRun(net::HttpClient& aClient, const Upstream& aUpstream)
  : client_(aClient)
  , upstream_(aUpstream)
{
}

net::HttpRequest
UpstreamRun::MakeRequest(const schema::AttemptRequest& aRequest) const
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
UpstreamRun::Run(const schema::AttemptRequest& aRequest,
                 const std::string& aVersion,
                 Millis aDeadline,
                 Answer& aAnswer,
                 utils::Error& aReason)
{
  auto left = std::max(aDeadline - clock_.Now(), Millis(1));
  net::CallTimeouts timeouts{ std::min(left, kConnectTimeout), left, left };
  auto stream =
    client_.Open(upstream_.endpoint, MakeRequest(aRequest), timeouts, aReason);
  // An engine's own faults are no answer to a caller; a plain service's are
  // its own to tell.
  if (stream && upstream_.isEngine && stream->GetStatus() >= kServerError) {
    aReason.Set(ErrorKind::UpstreamFailed,
                "the engine answered " + std::to_string(stream->GetStatus()));
    return false;
  }
  if (stream) {
    aAnswer.SetHead(MakeHead(*stream, aVersion));
  }
  bool whole = stream && Relay(*stream, aVersion, aDeadline, aAnswer, aReason);
  if (whole || aReason.kind == ErrorKind::ConnectFailed) {
    return whole;
  }
  bool late = aReason.kind == ErrorKind::TimedOut;
  if (late || aAnswer.IsCancelled() ||
      aReason.kind == ErrorKind::VersionChanged) {
    stream.reset();
    Cancel(aRequest.attempt());
  }
  if (late) {
    aReason.kind = ErrorKind::DeadlineExceeded;
  } else if (aReason.kind == ErrorKind::ConnectionLost) {
    aReason.kind = ErrorKind::UpstreamFailed;
  }
  return false;
}

bool
UpstreamRun::Relay(net::ResponseStream& aStream,
                   const std::string& aVersion,
                   Millis aDeadline,
                   Answer& aAnswer,
                   utils::Error& aReason)
{
  Fingerprints fingerprints(aVersion);
  std::string part;
  while (true) {
    auto left = std::max(aDeadline - clock_.Now(), Millis(1));
    auto result = aStream.Read(part, left, aReason);
    if (result == net::ReadResult::End) {
      return true;
    }
    if (result == net::ReadResult::Failed) {
      return false;
    }
    if (upstream_.isEngine && !fingerprints.Check(part)) {
      aReason.Set(ErrorKind::VersionChanged, "made by another version");
      return false;
    }
    if (!aAnswer.Append(part)) {
      aReason.Set(ErrorKind::AnswerBroken, "cancelled or too long");
      return false;
    }
  }
}

void
UpstreamRun::Cancel(const std::string& aAttempt)
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
  // Best effort: an engine that is gone has stopped by itself.
  utils::Error ignored;
  client_.Call(upstream_.endpoint, request, timeouts, ignored);
}

std::string
UpstreamRun::AskIncarnation(utils::Error& aReason)
{
  platform::EngineClient engine(client_, upstream_.endpoint);
  auto state = engine.GetState(aReason);
  return state ? state->incarnation() : std::string();
}

void
UpstreamRun::Watch()
{
  utils::Error ignored;
  auto incarnation = upstream_.isEngine ? AskIncarnation(ignored) : "";
  if (!incarnation.empty() && incarnation != *incarnation_.Get()) {
    incarnation_.Set(std::make_shared<const std::string>(incarnation));
  }
}

bool
UpstreamRun::HasDied(const std::string& aIncarnation)
{
  // A process that goes may still take connections and drop them.
  for (int i = 0; i < kDeathLooks; ++i) {
    if (auto died = LookForDeath(aIncarnation)) {
      return *died;
    }
    net::Runtime::Sleep(kDeathPause);
  }
  return true;
}

std::optional<bool>
UpstreamRun::LookForDeath(const std::string& aIncarnation)
{
  utils::Error reason;
  if (upstream_.isEngine) {
    auto incarnation = AskIncarnation(reason);
    if (!incarnation.empty()) {
      return !aIncarnation.empty() && incarnation != aIncarnation;
    }
  } else if (AskOptions(reason)) {
    return false;
  }
  if (reason.kind == ErrorKind::ConnectionLost) {
    return std::nullopt;
  }
  return reason.kind == ErrorKind::ConnectFailed;
}

bool
UpstreamRun::AskOptions(utils::Error& aReason)
{
  // OPTIONS runs nothing on any service that keeps to HTTP.
  net::HttpRequest request;
  request.method = "OPTIONS";
  net::CallTimeouts timeouts{ kConnectTimeout,
                              kControlTimeout,
                              kControlTimeout };
  return client_.Call(upstream_.endpoint, request, timeouts, aReason)
    .has_value();
}

} // namespace waxwingyoke::requests
