#include "UpstreamSend.h"

#include <algorithm>

namespace waxwingyoke::fleet {

namespace {

using dispatch::Outcome;
using utils::ErrorKind;
using utils::Millis;

// A connection takes one round trip and some ms at the upstream.
constexpr Millis kConnectTimeout(500);
// An upstream that refused for want of room has some again after about one
// request's end.
constexpr Millis kFullPause(60);
// Another incarnation or version: until the directory or its side says more.
constexpr Millis kMisdirectedPause(400);

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;

void
NoteNotRun(EntryServices& aServices,
           UpstreamLease& aLease,
           const platform::UpstreamHead& aHead)
{
  auto pause = aHead.misdirected ? kMisdirectedPause : kFullPause;
  aLease.GetUpstream().health.AvoidUntil(aServices.Now() + pause);
}

// A success without the upstream's mark, or with a changed body, is nobody's
// answer.
bool
IsDeliverable(const platform::UpstreamHead& aHead)
{
  bool success = aHead.status >= kOk && aHead.status < kMultipleChoices;
  return !success || (aHead.stamped && !aHead.encoded);
}

Millis
GetHeadTimeout(const SendOrder& aOrder)
{
  auto begin = aOrder.timeToBegin.value_or(aOrder.headTimeout);
  return std::clamp(begin, Millis(1), aOrder.headTimeout);
}

// The upstream is well: it was late for its version's end.
void
NoteTakenBack(EntryServices& aServices,
              UpstreamLease& aLease,
              const SendOrder& aOrder)
{
  aLease.GetUpstream().health.AvoidUntil(aServices.Now() + kFullPause);
  aServices.GetLogger().Info(
    "taken back before the version's end",
    { { "request", aOrder.attemptId },
      { "upstream", aLease.GetUpstream().record.id },
      { "version", std::to_string(aOrder.terms.version) },
      { "waited_ms", std::to_string(GetHeadTimeout(aOrder).value) } });
}

SendResult
JudgeFailure(const utils::Error& aReason)
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
               const SendOrder& aOrder)
{
  auto& upstream = aLease.GetUpstream();
  const auto& dialect = aServices.GetDialect();
  auto request = dialect.MakeUpstreamRequest(aOrder.request, aOrder.terms);
  net::CallOptions options;
  options.canceller = aOrder.canceller;
  options.repeatGet = false;
  options.accepts = [&](const net::HttpFields& aFields) {
    return dialect.IsAnswerTo(aFields, aOrder.attemptId);
  };
  auto headTimeout = GetHeadTimeout(aOrder);
  net::CallTimeouts timeouts{ std::min(kConnectTimeout, headTimeout),
                              headTimeout,
                              headTimeout };
  UpstreamAnswer answer;
  aServices.GetMetrics().sends.Add();
  answer.stream = aServices.GetClient().Open(
    upstream.record.endpoint, request, timeouts, answer.reason, options);
  if (!answer.stream) {
    answer.result = JudgeFailure(answer.reason);
    bool cancelled =
      aOrder.canceller != nullptr && aOrder.canceller->IsCancelled();
    bool takenBack = headTimeout < aOrder.headTimeout &&
                     answer.reason.kind == ErrorKind::TimedOut;
    if (takenBack) {
      NoteTakenBack(aServices, aLease, aOrder);
    } else if (!cancelled && answer.reason.kind != ErrorKind::ConnectionLost) {
      upstream.health.Note(Outcome::Unreachable, aServices.Now());
    }
    return answer;
  }
  answer.fields = answer.stream->GetFields();
  answer.head = dialect.ReadHead(answer.stream->GetStatus(), answer.fields);
  if (answer.head.notRun) {
    answer.result = SendResult::NotRun;
    NoteNotRun(aServices, aLease, answer.head);
  } else if (!IsDeliverable(answer.head)) {
    answer.result = SendResult::Lost;
    answer.reason.Set(ErrorKind::AnswerBroken, "not the upstream's answer");
    upstream.health.Note(Outcome::Failed, aServices.Now());
  } else {
    answer.result = SendResult::Answered;
  }
  return answer;
}

} // namespace waxwingyoke::fleet
