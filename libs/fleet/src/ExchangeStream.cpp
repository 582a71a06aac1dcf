#include <algorithm>
#include <utility>

#include "Exchange.h"

// Relays streams, and resumes those that break off.

namespace waxwingyoke::fleet {

namespace {

using dispatch::Outcome;
using utils::ErrorKind;
using utils::Millis;

constexpr int kOk = 200;

// A stream is also resumed at another upstream if no event arrives for this
// many of the longest pauses that the route allows.
constexpr int kStreamTimeoutPauses = 3;
constexpr Millis kMinStreamTimeout(1200);
} // namespace

void
Exchange::RelayStream()
{
  auto fields = services_.GetDialect().MakeCallerFields(answer_.fields);
  status_ = answer_.head.status;
  streaming_ = true;
  if (hedge_) {
    hedge_->RequireContinuation();
  }
  if (!writer_.Start(status_, fields)) {
    end_ = End::CallerDisconnected;
    return;
  }
  while (!ForwardEvents()) {
    if (IsCallerDisconnected()) {
      end_ = End::CallerDisconnected;
      return;
    }
    if (!ResumeElsewhere()) {
      reason_ = "stream broken off: " + answer_.reason.detail;
      end_ = End::Failed;
      return;
    }
  }
}

void
Exchange::RecordEvents()
{
  auto now = services_.Now();
  if (firstPartAt_ == Millis(0)) {
    firstPartAt_ = now;
    services_.GetService(query_.service)
      .predictionBias.RecordSample(
        predictedMs_, static_cast<double>((now - placedAt_).value), now);
  } else {
    longestPause_ = std::max(longestPause_, now - lastEventAt_);
  }
  lastEventAt_ = now;
  if (!responseBeganAt_) {
    responseBeganAt_ = now;
  }
  if (!hasSurvived_ && now - *responseBeganAt_ >= dispatch::kCrashWindow) {
    hasSurvived_ = true;
    services_.GetCrashes().RecordSurvival(digest_, parts_, now);
  }
}

Millis
Exchange::GetSilenceTimeout() const
{
  return std::max(route_->pauseLimit * kStreamTimeoutPauses, kMinStreamTimeout);
}

// Reads what the upstream sends next. A silence does not end the stream: a
// sound upstream may go on after it.
net::ReadResult
Exchange::ReadPart(std::string& aPart, Millis aQuietSince)
{
  if (!answer_.readAhead.empty()) {
    aPart = std::exchange(answer_.readAhead, {});
    return net::ReadResult::Data;
  }
  auto left = GetTimeLeft();
  if (left <= Millis(0)) {
    answer_.reason.Set(ErrorKind::DeadlineExceeded, "the deadline has passed");
    return net::ReadResult::Failed;
  }
  auto untilSilent = aQuietSince + GetSilenceTimeout() - services_.Now();
  auto interval = hedge_ ? kHedgeInterval : untilSilent;
  auto wait = std::min(std::max(interval, kHedgeInterval), left);
  auto result = answer_.stream->TryRead(aPart, wait, answer_.reason);
  if (result == net::ReadResult::End && IsTruncated()) {
    services_.GetMetrics().truncatedStreams.Add();
    bool lost = answer_.stream->GetFraming() == net::BodyFraming::Close;
    answer_.reason.Set(lost ? ErrorKind::ConnectionLost
                            : ErrorKind::AnswerBroken,
                       "the stream ended within an event or before the first");
    return net::ReadResult::Failed;
  }
  return result;
}

// The framing of the response doesn't decide it: an upstream that stops midway
// may still close in order or end its chunks. A response without any event that
// ends in a close looks like that of an upstream that exits before its first.
bool
Exchange::IsTruncated() const
{
  bool isEmpty = relay_.GetEventCount() == eventsBeforeResponse_ &&
                 answer_.stream->GetFraming() == net::BodyFraming::Close;
  return isEmpty || relay_.EndsInsideEvent();
}

void
Exchange::RecordBrokenStream(Millis aQuietSince)
{
  if (IsCallerDisconnected()) {
    return;
  }
  bool wasSilent = answer_.reason.kind == ErrorKind::DeadlineExceeded &&
                   services_.Now() - aQuietSince >= GetSilenceTimeout();
  if (wasSilent) {
    RecordHang(aQuietSince, GetSilenceTimeout());
  } else if (!HasUpstreamRunOutOfTime()) {
    lease_->GetUpstream().health.RecordOutcome(Outcome::Failed,
                                               services_.Now());
    RecordLostConnection();
  }
  services_.GetMetrics().brokenStreams.Add();
  services_.GetLogger().Info(
    "a stream broke off",
    { { "request", caller_.attemptId },
      { "upstream", lease_->GetUpstream().record.id },
      { "framing", GetFramingName() },
      { "events", std::to_string(relay_.GetEventCount()) },
      { "partial_bytes", std::to_string(relay_.GetRemainderBytes()) },
      { "resumable", route_->resumable ? "yes" : "no" },
      { "why", answer_.reason.detail } });
}

bool
Exchange::FinishStream()
{
  lease_->GetUpstream().health.RecordOutcome(Outcome::Served, services_.Now());
  RecordSurvival();
  DiscardHedge();
  lease_.reset();
  auto remainder = relay_.TakeRemainder();
  bool sent =
    (remainder.empty() || writer_.Write(remainder)) && writer_.Finish();
  end_ = sent ? End::Served : End::CallerDisconnected;
  return true;
}

// Forwards the events that aPart completes; false if the stream can't go on.
bool
Exchange::ForwardPart(const std::string& aPart, dispatch::BufferShare& aShare)
{
  relay_.Add(aPart);
  auto eventsBefore = relay_.GetEventCount();
  auto events = relay_.TakeEvents();
  if (relay_.GetEventCount() > eventsBefore) {
    RecordEvents();
    lease_->MarkPromptProcessed();
    lease_->GetUpstream().health.RecordActivity(services_.Now());
  }
  if (!events.empty() && !writer_.Write(events)) {
    HandleCallerDisconnect();
    return false;
  }
  if (relay_.IsEventTooLarge() || relay_.HasForeignEvent()) {
    answer_.reason.Set(ErrorKind::AnswerBroken,
                       relay_.HasForeignEvent()
                         ? "an event does not continue the stream"
                         : "an event is too large");
    RecordBrokenStream(services_.Now());
    return false;
  }
  aShare.Resize(relay_.GetRemainderBytes());
  return true;
}

// Forwards events as they arrive; false if the stream broke off, or if another
// upstream has resumed it.
bool
Exchange::ForwardEvents()
{
  std::string part;
  eventsBeforeResponse_ = relay_.GetEventCount();
  auto quietSince = services_.Now();
  int lateReads = 0;
  dispatch::BufferShare share(services_.GetAnswerBudget(), [this] {
    relay_.DiscardPartialEvent();
    answer_.stream->StopWaiting();
  });
  while (!IsCallerDisconnected()) {
    if (!CheckAnswerMemory(share)) {
      RecordBrokenStream(quietSince);
      return false;
    }
    if (hedge_ && hedge_->HasFailed()) {
      DiscardHedge();
    }
    if (ShouldAdoptHedge(quietSince)) {
      sparedUpstream_ = lease_->GetUpstream().record.id;
      RecordHang(quietSince, GetSilenceTimeout());
      return false;
    }
    auto result = ReadPart(part, quietSince);
    if (share.IsDropped()) {
      continue;
    }
    if (result == net::ReadResult::Failed) {
      RecordBrokenStream(quietSince);
      return false;
    }
    if (result == net::ReadResult::End) {
      return FinishStream();
    }
    auto eventsBefore = relay_.GetEventCount();
    if (result == net::ReadResult::Data && !ForwardPart(part, share)) {
      return false;
    }
    if (relay_.GetEventCount() > eventsBefore) {
      quietSince = services_.Now();
      lateReads = 0;
      DiscardHedge();
    } else if (services_.Now() - quietSince >= GetSilenceTimeout()) {
      // What arrived while this process was suspended is read first.
      ++lateReads;
      if (result == net::ReadResult::Nothing || lateReads > kMaxLateReads) {
        HedgeStream(quietSince);
      }
    }
  }
  return false;
}

// Resumes a broken stream at another upstream after the last complete event.
bool
Exchange::ResumeElsewhere()
{
  mayHaveRun_ = true;
  relay_.DiscardPartialEvent();
  Exclude(lease_->GetUpstream().record.id);
  query_.preferredVersion = leaseVersion_;
  if (AdoptUsableHedge()) {
    services_.GetMetrics().resumed.Add();
    return true;
  }
  while (true) {
    answer_.stream.reset();
    if (!AcquireResumePlacement() || !SendOnce()) {
      return false;
    }
    if (answer_.result == SendResult::Answered && answer_.head.status == kOk &&
        answer_.head.isEventStream) {
      services_.GetMetrics().resumed.Add();
      return true;
    }
    Exclude(lease_->GetUpstream().record.id);
  }
}

// Where the request has been sent to as many upstreams as the route allows, it
// may return to one of them that was given up while it was sound.
bool
Exchange::AcquireResumePlacement()
{
  bool isLimitReached = sends_ >= route_->maxUpstreams;
  if (isLimitReached && sparedUpstream_.empty()) {
    return false;
  }
  if (isLimitReached) {
    std::erase(query_.excluded, sparedUpstream_);
    query_.onlyUpstream = std::exchange(sparedUpstream_, {});
  }
  bool allowed = route_->resumable && connectFailures_ <= kMaxConnectFailures &&
                 GetTimeLeft() >= kMinTimeLeft &&
                 services_.GetTrust() != dispatch::Trust::KeylessOnly;
  auto& retryBudget = services_.GetService(query_.service).retryBudget;
  return allowed && retryBudget.Take(services_.Now()) &&
         AcquirePlacement(false);
}

} // namespace waxwingyoke::fleet
