#include "AttemptCall.h"

#include <algorithm>
#include <utility>

#include <net/Router.h>
#include <net/Runtime.h>
#include <telemetry/Metrics.h>

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr Millis kConnectTimeout(1000);
// Four heartbeat intervals of the side.
constexpr Millis kSilenceTimeout(2000);
constexpr Millis kReconnectInterval(100);
constexpr Millis kCancelTimeout(1000);
// A query whose answer this process still reads has reached the side within
// this time.
constexpr Millis kMaxQueryTransit = kConnectTimeout + kSilenceTimeout;
constexpr Millis kDisconnectCheckInterval(100);
constexpr int kOk = 200;

// Added to the deadline, so that the side's own error for an exceeded deadline
// arrives first.
constexpr Millis kDeadlineGrace(200);

} // namespace

struct AttemptCall::Progress
{
  const SideAddress& side;
  const std::string& attempt;
  const AttemptOptions& options;
  CallerSink& sink;
  /** Earliest time at which the attempt may have been sent, by the clock of
   * ages. */
  Millis sentAt;
  /** When data from the side last arrived. */
  Millis receivedAt;
  /** Answer bytes received; an attach resumes from here. */
  std::uint64_t bytes = 0;
  utils::DigestBuilder digest{};
  // Not {}: GCC 12 then warns, when optimising, that an exception in the
  // initialization of a Progress would destroy an uninitialized string.
  AttemptResult result = AttemptResult();
  bool done = false;
  Millis nextDisconnectCheck{};
};

AttemptCall::AttemptCall(net::HttpClient& aClient,
                         const rpc::RpcClient& aRpc,
                         std::string aSecret,
                         const utils::Clock& aAgeClock)
  : client_(aClient)
  , rpc_(aRpc)
  , secret_(std::move(aSecret))
  , ageClock_(aAgeClock)
{
}

net::HttpRequest
AttemptCall::MakeRequest(const char* aPath, std::string aBody) const
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = aPath;
  request.fields.Set(kBodyDigestField, utils::Digest::Of(aBody).ToHex());
  request.body = std::move(aBody);
  auto secret = net::MakeSecretField(secret_);
  request.fields.Set(secret.name, secret.value);
  return request;
}

AttemptResult
AttemptCall::Run(const SideAddress& aSide,
                 const schema::AttemptRequest& aRequest,
                 const AttemptOptions& aOptions,
                 CallerSink& aSink) const
{
  Progress progress{ aSide, aRequest.attempt(), aOptions,
                     aSink, ageClock_.Now(),    clock_.Now() };
  net::CallTimeouts timeouts{ kConnectTimeout,
                              kSilenceTimeout,
                              kSilenceTimeout };
  auto& reason = progress.result.error;
  auto stream =
    client_.Open(aSide.endpoint,
                 MakeRequest("/attempts", aRequest.SerializeAsString()),
                 timeouts,
                 reason);
  if (!stream && reason.kind == ErrorKind::ConnectFailed) {
    return std::move(progress.result);
  }
  if (stream) {
    ReadFrames(*stream, progress);
  }
  if (!progress.done) {
    // Closes the connection first, so that the side counts one reader less.
    stream.reset();
    AttachUntilDone(progress);
  }
  return std::move(progress.result);
}

AttemptResult
AttemptCall::Attach(const SideAddress& aSide,
                    const std::string& aAttempt,
                    Millis aAge,
                    const AttemptOptions& aOptions,
                    CallerSink& aSink) const
{
  Progress progress{
    aSide, aAttempt, aOptions, aSink, ageClock_.Now() - aAge, clock_.Now()
  };
  AttachUntilDone(progress);
  return std::move(progress.result);
}

// An upper bound of the attempt's age when the side reads the query. With a
// lower age the side may take an attempt that ran, and that it has evicted
// since, for one that was never received.
Millis
AttemptCall::GetMaxAge(const Progress& aProgress) const
{
  return ageClock_.Now() - aProgress.sentAt + kMaxQueryTransit;
}

AttemptCall::Stream
AttemptCall::OpenAttach(const Progress& aProgress, utils::Error& aReason) const
{
  static auto& sAttaches =
    telemetry::Metrics::Get().GetCounter("entry_attaches_total");
  sAttaches.Add();
  schema::AttachRequest request;
  request.set_attempt(aProgress.attempt);
  request.set_incarnation(aProgress.side.incarnation);
  request.set_age_ms(GetMaxAge(aProgress).value);
  request.set_from_byte(aProgress.bytes);
  net::CallTimeouts timeouts{ kConnectTimeout,
                              kSilenceTimeout,
                              kSilenceTimeout };
  return client_.Open(
    aProgress.side.endpoint,
    MakeRequest("/attempts/attach", request.SerializeAsString()),
    timeouts,
    aReason);
}

void
AttemptCall::AttachUntilDone(Progress& aProgress) const
{
  auto& error = aProgress.result.error;
  const auto& options = aProgress.options;
  // The timeout covers reconnecting only: it starts here, not at the beginning
  // of the silence that ended the previous connection.
  auto disconnectedAt = clock_.Now();
  while (!aProgress.done) {
    auto now = clock_.Now();
    if (now >= options.deadline + kDeadlineGrace) {
      error.Set(ErrorKind::DeadlineExceeded,
                "no complete answer before the deadline");
      Cancel(aProgress);
      return;
    }
    if (now - std::max(disconnectedAt, aProgress.receivedAt) >
        options.reconnectTimeout) {
      error.Set(ErrorKind::OutcomeUnknown, "the side is unreachable");
      return;
    }
    if (aProgress.sink.IsCallerDisconnected()) {
      aProgress.result.callerDisconnected = true;
      Cancel(aProgress);
      return;
    }
    utils::Error reason;
    auto stream = OpenAttach(aProgress, reason);
    if (stream) {
      ReadFrames(*stream, aProgress);
    }
    if (!aProgress.done) {
      net::Runtime::Sleep(kReconnectInterval);
    }
  }
}

void
AttemptCall::ReadFrames(net::ResponseStream& aStream, Progress& aProgress) const
{
  if (aStream.GetStatus() != kOk) {
    return;
  }
  FrameReader reader;
  schema::AnswerFrame frame;
  std::string part;
  utils::Error reason;
  while (!aProgress.done) {
    auto remaining = aProgress.options.deadline + kDeadlineGrace - clock_.Now();
    auto wait = std::clamp(remaining, Millis(1), kSilenceTimeout);
    if (aStream.Read(part, wait, reason) != net::ReadResult::Data) {
      return;
    }
    aProgress.receivedAt = clock_.Now();
    reader.Feed(part);
    auto found = reader.Next(frame);
    while (found == FrameResult::Frame && !aProgress.done) {
      ApplyFrame(frame, aProgress);
      found = reader.Next(frame);
    }
    if (found == FrameResult::Broken) {
      return;
    }
    if (!aProgress.done && IsCallerDisconnected(aProgress)) {
      aProgress.result.callerDisconnected = true;
      aProgress.done = true;
      Cancel(aProgress);
    }
  }
  // Reads to the end of the body, so that the connection can be reused.
  if (aProgress.result.hasEnd) {
    aStream.Read(part, kSilenceTimeout, reason);
  }
}

// The check costs a system call, so it is not made for every token.
bool
AttemptCall::IsCallerDisconnected(Progress& aProgress) const
{
  auto now = clock_.Now();
  if (now < aProgress.nextDisconnectCheck) {
    return false;
  }
  aProgress.nextDisconnectCheck = now + kDisconnectCheckInterval;
  return aProgress.sink.IsCallerDisconnected();
}

void
AttemptCall::ApplyFrame(const schema::AnswerFrame& aFrame,
                        Progress& aProgress) const
{
  if (aFrame.has_head()) {
    ApplyHead(aFrame.head(), aProgress);
  } else if (aFrame.body_case() == schema::AnswerFrame::kData) {
    aProgress.bytes += aFrame.data().size();
    aProgress.digest.Add(aFrame.data());
    aProgress.sink.OnData(aFrame.data());
    if (aProgress.sink.HasDiverged()) {
      aProgress.result.error.Set(
        ErrorKind::AnswerBroken,
        "the stream can't be resumed: the retried answer differs");
      aProgress.done = true;
      Cancel(aProgress);
    }
  } else if (aFrame.has_end()) {
    ApplyEnd(aFrame.end(), aProgress);
  }
}

// A side of an earlier release may pass on a status that no response may have.
void
AttemptCall::ApplyHead(const schema::AnswerHead& aHead,
                       Progress& aProgress) const
{
  if (!net::IsFinalStatus(aHead.status())) {
    aProgress.result.error.Set(ErrorKind::UpstreamFailed,
                               "the upstream answered " +
                                 std::to_string(aHead.status()));
    aProgress.done = true;
    Cancel(aProgress);
    return;
  }
  aProgress.result.version = aHead.version();
  aProgress.sink.OnHead(aHead);
}

void
AttemptCall::ApplyEnd(const schema::AnswerEnd& aEnd, Progress& aProgress) const
{
  aProgress.done = true;
  auto& result = aProgress.result;
  result.end = aEnd;
  result.hasEnd = true;
  auto kind = utils::ParseErrorKind(aEnd.error()).value_or(ErrorKind::Internal);
  result.error = { kind, aEnd.detail() };
  if (kind != ErrorKind::None) {
    return;
  }
  if (aEnd.data_bytes() != aProgress.bytes ||
      aEnd.digest() != aProgress.digest.Finish().ToHex()) {
    result.error.Set(
      ErrorKind::AnswerBroken,
      "the answer's length or digest does not match its end frame");
  } else if (aEnd.version() != result.version ||
             aEnd.incarnation() != aProgress.side.incarnation) {
    result.error.Set(
      ErrorKind::VersionChanged,
      "the version or the incarnation changed during the answer");
  } else if (!aProgress.sink.IsComplete()) {
    result.error.Set(
      ErrorKind::AnswerBroken,
      "the stream ended within an event or without its end mark");
  }
}

void
AttemptCall::Cancel(const Progress& aProgress) const
{
  if (!aProgress.options.mayCancel) {
    return;
  }
  schema::AskRequest request;
  request.set_attempt(aProgress.attempt);
  request.set_incarnation(aProgress.side.incarnation);
  request.set_age_ms(GetMaxAge(aProgress).value);
  schema::AskReply reply;
  net::CallTimeouts timeouts{ kConnectTimeout, kCancelTimeout, kCancelTimeout };
  // Best effort: the side itself stops a cancellable attempt that has no
  // readers.
  utils::Error ignored;
  rpc_.Call(
    aProgress.side.endpoint, "attempt.bar", request, reply, timeouts, ignored);
}

} // namespace waxwingyoke::requests
