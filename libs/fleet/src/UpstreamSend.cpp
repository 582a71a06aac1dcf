#include "UpstreamSend.h"

#include <algorithm>

namespace waxwingyoke::fleet {

namespace {

using dispatch::Outcome;
using utils::ErrorKind;
using utils::Millis;

// A connect takes one round trip and a few milliseconds at the upstream.
constexpr Millis kConnectTimeout(500);
// The same shortly before the version's limit, as the wait for the start begins
// after the connect.
constexpr Millis kLimitedConnectTimeout(100);
// An upstream that refused a request because it was full has a free slot after
// about one request's end.
constexpr Millis kOverloadedAvoidTime(60);
// Another incarnation or version runs there. Requests avoid the upstream until
// the directory or its side is likely to have reported the change.
constexpr Millis kMisdirectedAvoidTime(400);

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;

void
RecordNotRun(EntryServices& aServices,
             UpstreamLease& aLease,
             const platform::UpstreamHead& aHead)
{
  auto avoidTime =
    aHead.misdirected ? kMisdirectedAvoidTime : kOverloadedAvoidTime;
  aLease.GetUpstream().health.AvoidUntil(aServices.Now() + avoidTime);
}

// Applies what the upstream states about itself in any of its answers.
void
RecordUpstreamState(EntryServices& aServices,
                    UpstreamLease& aLease,
                    const platform::UpstreamHead& aHead,
                    Millis aSentAt)
{
  auto& upstream = aLease.GetUpstream();
  const auto& id = upstream.record.id;
  if (aHead.leaving && !upstream.leaving) {
    aServices.GetUpstreams().RecordLeave(upstream, aServices.Now());
    aServices.MarkUseChanged();
    aServices.GetLogger().Info("an upstream announced its exit",
                               { { "upstream", id } });
  }
  aServices.RecordRateLimit(upstream, aHead, aSentAt);
  if (aHead.pause) {
    upstream.pausedUntil =
      std::max(upstream.pausedUntil, aServices.Now() + *aHead.pause);
    aServices.GetLogger().Info(
      "an upstream asked for a pause",
      { { "upstream", id },
        { "pause_ms", std::to_string(aHead.pause->value) } });
  }
}

// A success response without the upstream's stamp, or with an altered body, is
// not the upstream's own and is not delivered.
bool
IsDeliverable(const platform::UpstreamHead& aHead)
{
  bool success = aHead.status >= kOk && aHead.status < kMultipleChoices;
  return !success || (aHead.stamped && !aHead.encoded);
}

Millis
GetHeadTimeout(const SendParameters& aParameters)
{
  auto limit = aParameters.startTimeout.value_or(aParameters.headTimeout);
  return std::clamp(limit, Millis(1), aParameters.headTimeout);
}

// Records no failure: the upstream is healthy, but the work didn't start before
// its version's limit.
void
RecordStartTimeout(EntryServices& aServices,
                   UpstreamLease& aLease,
                   const SendParameters& aParameters)
{
  aLease.GetUpstream().health.AvoidUntil(aServices.Now() +
                                         kOverloadedAvoidTime);
  aServices.GetLogger().Info(
    "cancelled: not started before the version's limit",
    { { "request", aParameters.attemptId },
      { "upstream", aLease.GetUpstream().record.id },
      { "version", std::to_string(aParameters.metadata.version) },
      { "waited_ms", std::to_string(GetHeadTimeout(aParameters).value) } });
}

SendResult
ClassifyFailure(const utils::Error& aReason)
{
  if (aReason.kind == ErrorKind::ConnectFailed) {
    return SendResult::NotSent;
  }
  return SendResult::Lost;
}

} // namespace

UpstreamAnswer
SendToUpstream(EntryServices& aServices,
               UpstreamLease& aLease,
               const SendParameters& aParameters)
{
  auto& upstream = aLease.GetUpstream();
  const auto& dialect = aServices.GetDialect();
  auto request =
    dialect.MakeUpstreamRequest(aParameters.request, aParameters.metadata);
  net::CallOptions options;
  options.canceller = aParameters.canceller;
  options.retryGet = false;
  options.onSilence = aParameters.onSilence;
  options.silenceTimeout = aParameters.silenceTimeout;
  options.requestId = aParameters.attemptId;
  options.findOwner = [&](const net::HttpFields& aFields) {
    return dialect.FindOwner(aFields, aParameters.attemptId);
  };
  auto headTimeout = GetHeadTimeout(aParameters);
  bool mayStart =
    !aParameters.startTimeout || *aParameters.startTimeout > Millis(0);
  bool isLimited = headTimeout < aParameters.headTimeout;
  auto connectTimeout = isLimited ? kLimitedConnectTimeout : kConnectTimeout;
  net::CallTimeouts timeouts{ std::min(connectTimeout, headTimeout),
                              headTimeout,
                              headTimeout };
  UpstreamAnswer answer;
  if (!mayStart) {
    RecordStartTimeout(aServices, aLease, aParameters);
    answer.reason.Set(ErrorKind::NoUpstream,
                      "the upstream's version has reached its limit");
    return answer;
  }
  // Not the state's flag, as the registry may hold a newer state by now.
  if (aServices.GetUpstreams().GetEvacuated().contains(
        upstream.record.dataCentre)) {
    answer.reason.Set(ErrorKind::NoUpstream,
                      "the upstream's data centre is evacuated");
    return answer;
  }
  if (!aLease.ClaimSend()) {
    aServices.GetMetrics().rateLimitedSends.Add();
    answer.reason.Set(ErrorKind::NoUpstream,
                      "the upstream's rate limit leaves no send");
    return answer;
  }
  auto sentAt = aServices.Now();
  aServices.GetMetrics().sends.Add();
  answer.stream = aServices.GetClient().Open(
    upstream.record.endpoint, request, timeouts, answer.reason, options);
  if (!answer.stream) {
    answer.result = ClassifyFailure(answer.reason);
    bool cancelled =
      aParameters.canceller != nullptr && aParameters.canceller->IsCancelled();
    bool startTimedOut = headTimeout < aParameters.headTimeout &&
                         answer.reason.kind == ErrorKind::TimedOut;
    // Callers that allow less time than an answer takes prove nothing.
    bool ranOutOfTime = answer.reason.kind == ErrorKind::TimedOut &&
                        headTimeout < aParameters.objective;
    if (startTimedOut) {
      RecordStartTimeout(aServices, aLease, aParameters);
    } else if (!cancelled && answer.reason.kind == ErrorKind::AnswerBroken) {
      upstream.health.RecordOutcome(Outcome::Failed, aServices.Now());
    } else if (!cancelled && !ranOutOfTime &&
               answer.reason.kind != ErrorKind::ConnectionLost) {
      upstream.health.RecordOutcome(Outcome::Unreachable, aServices.Now());
    }
    return answer;
  }
  upstream.health.RecordActivity(aServices.Now());
  answer.fields = answer.stream->GetFields();
  answer.head = dialect.ReadHead(answer.stream->GetStatus(), answer.fields);
  RecordUpstreamState(aServices, aLease, answer.head, sentAt);
  if (answer.head.notRun) {
    answer.result = SendResult::NotRun;
    RecordNotRun(aServices, aLease, answer.head);
  } else if (!IsDeliverable(answer.head)) {
    answer.result = SendResult::Lost;
    answer.reason.Set(
      ErrorKind::AnswerBroken,
      "the response lacks the upstream's stamp or its body was altered");
    upstream.health.RecordOutcome(Outcome::Failed, aServices.Now());
  } else {
    answer.result = SendResult::Answered;
  }
  return answer;
}

} // namespace waxwingyoke::fleet
