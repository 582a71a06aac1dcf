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
// Four heartbeats of the side.
constexpr Millis kSilence(2000);
constexpr Millis kReconnectPause(100);
constexpr Millis kCancelTimeout(1000);
constexpr Millis kLookInterval(100);
constexpr int kOk = 200;

// Up to the deadline, a little more so that the side's own refusal for the
// deadline comes first.
constexpr Millis kDeadlineGrace(200);

} // namespace

struct AttemptCall::Progress
{
  const SideAddress& side;
  const std::string& attempt;
  const AttemptOptions& options;
  CallerSink& sink;
  /** When the attempt was sent, at the latest. */
  Millis sentAt;
  /** When the side last was heard of. */
  Millis heardAt;
  std::uint64_t bytes = 0;
  utils::DigestBuilder digest{};
  AttemptResult result{};
  bool done = false;
  Millis nextLook{};
};

AttemptCall::AttemptCall(net::HttpClient& aClient,
                         const rpc::RpcClient& aRpc,
                         std::string aSecret)
  : client_(aClient)
  , rpc_(aRpc)
  , secret_(std::move(aSecret))
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
  auto now = clock_.Now();
  Progress progress{ aSide, aRequest.attempt(), aOptions, aSink, now, now };
  net::CallTimeouts timeouts{ kConnectTimeout, kSilence, kSilence };
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
    // Closed first, so that the side sees a reader less.
    stream.reset();
    FollowToEnd(progress);
  }
  return std::move(progress.result);
}

AttemptResult
AttemptCall::Follow(const SideAddress& aSide,
                    const std::string& aAttempt,
                    Millis aAge,
                    const AttemptOptions& aOptions,
                    CallerSink& aSink) const
{
  auto now = clock_.Now();
  Progress progress{ aSide, aAttempt, aOptions, aSink, now - aAge, now };
  FollowToEnd(progress);
  return std::move(progress.result);
}

AttemptCall::Stream
AttemptCall::OpenAttach(const Progress& aProgress, utils::Error& aReason) const
{
  static auto& sAttached =
    telemetry::Metrics::Get().GetCounter("entry_attaches_total");
  sAttached.Add();
  schema::AttachRequest request;
  request.set_attempt(aProgress.attempt);
  request.set_incarnation(aProgress.side.incarnation);
  request.set_age_ms((clock_.Now() - aProgress.sentAt).value);
  request.set_from_byte(aProgress.bytes);
  net::CallTimeouts timeouts{ kConnectTimeout, kSilence, kSilence };
  return client_.Open(
    aProgress.side.endpoint,
    MakeRequest("/attempts/attach", request.SerializeAsString()),
    timeouts,
    aReason);
}

void
AttemptCall::FollowToEnd(Progress& aProgress) const
{
  auto& error = aProgress.result.error;
  const auto& options = aProgress.options;
  // A silent connection took its time already; patience is for new ones.
  auto lostAt = clock_.Now();
  while (!aProgress.done) {
    auto now = clock_.Now();
    if (now >= options.deadline + kDeadlineGrace) {
      error.Set(ErrorKind::DeadlineExceeded, "no whole answer in time");
      Cancel(aProgress);
      return;
    }
    if (now - std::max(lostAt, aProgress.heardAt) > options.patience) {
      error.Set(ErrorKind::OutcomeUnknown, "the side is not to be reached");
      return;
    }
    if (aProgress.sink.IsCallerGone()) {
      aProgress.result.callerGone = true;
      Cancel(aProgress);
      return;
    }
    utils::Error reason;
    auto stream = OpenAttach(aProgress, reason);
    if (stream) {
      ReadFrames(*stream, aProgress);
    }
    if (!aProgress.done) {
      net::Runtime::Sleep(kReconnectPause);
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
    auto left = aProgress.options.deadline + kDeadlineGrace - clock_.Now();
    auto wait = std::clamp(left, Millis(1), kSilence);
    if (aStream.Read(part, wait, reason) != net::ReadResult::Data) {
      return;
    }
    aProgress.heardAt = clock_.Now();
    reader.Feed(part);
    auto found = reader.Next(frame);
    while (found == FrameResult::Frame && !aProgress.done) {
      TakeFrame(frame, aProgress);
      found = reader.Next(frame);
    }
    if (found == FrameResult::Broken) {
      return;
    }
    if (!aProgress.done && IsCallerGone(aProgress)) {
      aProgress.result.callerGone = true;
      aProgress.done = true;
      Cancel(aProgress);
    }
  }
  // Reads the end of the body, so that the connection can be kept.
  if (aProgress.result.hasEnd) {
    aStream.Read(part, kSilence, reason);
  }
}

// A look costs a system call, so not with every token.
bool
AttemptCall::IsCallerGone(Progress& aProgress) const
{
  auto now = clock_.Now();
  if (now < aProgress.nextLook) {
    return false;
  }
  aProgress.nextLook = now + kLookInterval;
  return aProgress.sink.IsCallerGone();
}

void
AttemptCall::TakeFrame(const schema::AnswerFrame& aFrame,
                       Progress& aProgress) const
{
  if (aFrame.has_head()) {
    aProgress.result.version = aFrame.head().version();
    aProgress.sink.OnHead(aFrame.head());
  } else if (aFrame.body_case() == schema::AnswerFrame::kData) {
    aProgress.bytes += aFrame.data().size();
    aProgress.digest.Add(aFrame.data());
    aProgress.sink.OnData(aFrame.data());
    if (aProgress.sink.IsParted()) {
      aProgress.result.error.Set(ErrorKind::AnswerBroken,
                                 "the stream can't be resumed");
      aProgress.done = true;
      Cancel(aProgress);
    }
  } else if (aFrame.has_end()) {
    TakeEnd(aFrame.end(), aProgress);
  }
}

void
AttemptCall::TakeEnd(const schema::AnswerEnd& aEnd, Progress& aProgress) const
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
    result.error.Set(ErrorKind::AnswerBroken, "length or digest differ");
  } else if (aEnd.version() != result.version ||
             aEnd.incarnation() != aProgress.side.incarnation) {
    result.error.Set(ErrorKind::VersionChanged, "begun by another version");
  } else if (!aProgress.sink.HasEndMark()) {
    result.error.Set(ErrorKind::AnswerBroken, "the stream has no end mark");
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
  request.set_age_ms((clock_.Now() - aProgress.sentAt).value);
  schema::AskReply reply;
  net::CallTimeouts timeouts{ kConnectTimeout, kCancelTimeout, kCancelTimeout };
  // Best effort: without readers the side stops by itself what may stop.
  utils::Error ignored;
  rpc_.Call(
    aProgress.side.endpoint, "attempt.bar", request, reply, timeouts, ignored);
}

} // namespace waxwingyoke::requests
