#include "UpstreamRun.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "Fingerprints.h"

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr Millis kConnectTimeout(1000);
constexpr Millis kControlTimeout(2000);

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

// The engine's field request_id goes in first; the entry lets no caller's
// own through.
std::string
AddRequestId(const std::string& aBody, const std::string& aAttempt)
{
  auto open = aBody.find('{');
  if (open == std::string::npos) {
    return aBody;
  }
  auto rest = aBody.substr(open + 1);
  auto next = rest.find_first_not_of(" \t\r\n");
  bool isEmpty = next == std::string::npos || rest[next] == '}';
  return "{\"request_id\":\"" + aAttempt + "\"" + (isEmpty ? "" : ",") + rest;
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
  request.body = upstream_.isEngine
                   ? AddRequestId(aRequest.body(), aRequest.attempt())
                   : aRequest.body();
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

bool
UpstreamRun::IsAlive()
{
  net::HttpRequest request;
  // OPTIONS runs nothing on any service that keeps to HTTP.
  request.method = upstream_.isEngine ? "GET" : "OPTIONS";
  request.target = upstream_.isEngine ? "/admin/state" : "/";
  net::CallTimeouts timeouts{ kConnectTimeout,
                              kControlTimeout,
                              kControlTimeout };
  utils::Error reason;
  auto answer = client_.Call(upstream_.endpoint, request, timeouts, reason);
  return answer || reason.kind == ErrorKind::TimedOut;
}

} // namespace waxwingyoke::requests
