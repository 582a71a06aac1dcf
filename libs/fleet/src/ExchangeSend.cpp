#include <algorithm>
#include <array>
#include <utility>

#include "Exchange.h"

// Sends a request to upstreams and delivers their responses.

namespace waxwingyoke::fleet {

namespace {

using dispatch::Outcome;
using platform::RequestKind;
using utils::ErrorKind;
using utils::Millis;

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kServerError = 500;

// Statuses that guarantee to a caller that its request has not run. An
// upstream's response with one of them, but without proof that the request has
// not run, is not passed on.
constexpr std::array<int, 4> kNotExecutedStatuses{ 408, 421, 429, 503 };

// An idempotent request is also sent to another upstream if no response head
// arrives within this many objectives.
constexpr int kHeadTimeoutObjectives = 3;
constexpr Millis kMinHeadTimeout(700);

bool
ImpliesNotExecuted(int aStatus)
{
  return std::ranges::find(kNotExecutedStatuses, aStatus) !=
         kNotExecutedStatuses.end();
}

bool
IsSuccess(int aStatus)
{
  return aStatus >= kOk && aStatus < kMultipleChoices;
}

} // namespace

// Sends until there is a response to deliver or no further send is allowed.
void
Exchange::Serve()
{
  while (true) {
    if (!SendOnce()) {
      return;
    }
    bool mayHaveRun = false;
    do {
      if (DeliverAnswer()) {
        return;
      }
      if (IsCallerDisconnected()) {
        end_ = End::CallerDisconnected;
        return;
      }
      mayHaveRun = answer_.result == SendResult::Lost;
      mayHaveRun_ = mayHaveRun_ || mayHaveRun;
      Exclude(lease_->GetUpstream().record.id);
      answer_.stream.reset();
    } while (AdoptUsableHedge());
    if (!PrepareNextSend(mayHaveRun)) {
      return;
    }
  }
}

// False if there is no answer that can be delivered.
bool
Exchange::DeliverAnswer()
{
  if (answer_.result != SendResult::Answered) {
    return false;
  }
  bool isStream =
    route_->kind == RequestKind::Stream && answer_.head.status == kOk;
  if (isStream) {
    RelayStream();
    return true;
  }
  return DeliverResponse();
}

SendParameters
Exchange::MakeSendParameters(UpstreamLease& aLease, std::uint64_t aVersion)
{
  auto left = GetTimeLeft();
  SendParameters parameters{ request_, caller_.attemptId, {}, left };
  parameters.objective = route_->objective;
  if (aVersion > 0) {
    parameters.startTimeout =
      services_.FindStartTimeout(query_.model, aVersion);
  }
  auto& metadata = parameters.metadata;
  metadata.upstreamId = aLease.GetUpstream().record.id;
  metadata.version = aVersion;
  metadata.timeLeft = left;
  metadata.organisation = organisation_ != nullptr ? organisation_->name : "";
  metadata.lastEventId = relay_.GetLastEventId().empty()
                           ? caller_.lastEventId
                           : relay_.GetLastEventId();
  upstreams_ += (upstreams_.empty() ? "" : ",") + metadata.upstreamId;
  return parameters;
}

// False if the request has received its final response.
bool
Exchange::SendOnce()
{
  if (!CheckConfigFreshness() || !CheckQuarantine()) {
    return false;
  }
  if (GetTimeLeft() < kMinTimeLeft) {
    Fail("too little time left to send the request");
    return false;
  }
  auto parameters = MakeSendParameters(*lease_, leaseVersion_);
  startTimeout_ = parameters.startTimeout;
  sendCanceller_.emplace();
  parameters.canceller = &*sendCanceller_;
  if (IsCallerDisconnected()) {
    sendCanceller_->Cancel();
  }
  if (route_->IsIdempotent()) {
    parameters.silenceTimeout = GetHeadTimeout();
    parameters.onSilence = [this] { HedgeHead(); };
  }
  ++sends_;
  sentAt_ = services_.Now();
  upstreamDeadline_ = sentAt_ + parameters.metadata.timeLeft;
  answer_ = SendToUpstream(services_, *lease_, parameters);
  RecordSend();
  SettleHeadHedge();
  return true;
}

Millis
Exchange::GetHeadTimeout() const
{
  return std::max(route_->objective * kHeadTimeoutObjectives, kMinHeadTimeout);
}

// Applies the result of the send to the lease's upstream.
void
Exchange::RecordSend()
{
  responseBeganAt_.reset();
  hasSurvived_ = false;
  if (answer_.stream) {
    framing_ = answer_.stream->GetFraming();
  }
  if (answer_.result == SendResult::NotSent) {
    --sends_;
    ++connectFailures_;
  }
  bool wasCancelled =
    IsCallerDisconnected() || (sendCanceller_ && sendCanceller_->IsCancelled());
  if (!wasCancelled) {
    RecordFailedSend(answer_, *lease_, leaseVersion_);
  }
}

// Applies a send that ended before its answer to what is held of the upstream.
void
Exchange::RecordFailedSend(const UpstreamAnswer& aAnswer,
                           UpstreamLease& aLease,
                           std::uint64_t aVersion)
{
  if (aAnswer.result == SendResult::Lost &&
      aAnswer.reason.kind == ErrorKind::ConnectionLost) {
    BrokenRequest request;
    request.attemptId = caller_.attemptId;
    request.digest = digest_;
    request.sharedParts = caller_.sharedParts;
    request.hasBegun = aAnswer.stream != nullptr;
    request.writingTime = aAnswer.writingTime;
    services_.RecordBrokenConnection(aLease.GetPointer(), std::move(request));
  }
  if (aAnswer.result == SendResult::NotRun && aAnswer.head.misdirected &&
      query_.engine != nullptr) {
    services_.GetUpstreams().MarkStale(
      aLease.GetUpstream(), query_, aVersion, services_.Now());
  }
}

void
Exchange::Exclude(const std::string& aUpstream)
{
  auto& excluded = query_.excluded;
  if (std::ranges::find(excluded, aUpstream) == excluded.end()) {
    excluded.push_back(aUpstream);
  }
}

void
Exchange::RecordLostConnection()
{
  if (answer_.reason.kind == ErrorKind::ConnectionLost) {
    services_.RecordBrokenConnection(lease_->GetPointer(), MakeBrokenRequest());
  }
}

BrokenRequest
Exchange::MakeBrokenRequest() const
{
  BrokenRequest request;
  request.attemptId = caller_.attemptId;
  request.digest = digest_;
  request.sharedParts = caller_.sharedParts;
  request.hasBegun = answer_.stream != nullptr;
  if (responseBeganAt_) {
    request.writingTime = lastEventAt_ - *responseBeganAt_;
  }
  return request;
}

// Where only the connection's end marked the end of the response, the upstream
// may have crashed between two events.
void
Exchange::RecordSurvival()
{
  auto& crashes = services_.GetCrashes();
  bool endedByClose =
    answer_.stream->GetFraming() == net::BodyFraming::Close && !hasSurvived_;
  if (!endedByClose) {
    crashes.RecordSurvival(digest_, parts_, services_.Now());
  } else if (!crashes.IsKnownSound(digest_, parts_, services_.Now())) {
    auto request = MakeBrokenRequest();
    request.looksComplete = true;
    services_.RecordBrokenConnection(lease_->GetPointer(), std::move(request));
  }
}

// Acquires the next placement; false if there is none and the request has
// received its final response.
bool
Exchange::PrepareNextSend(bool aMayHaveRun)
{
  bool repeatable = !mayHaveRun_ || route_->IsIdempotent();
  bool allowed = repeatable && sends_ < route_->maxUpstreams &&
                 connectFailures_ <= kMaxConnectFailures &&
                 GetTimeLeft() >= kMinTimeLeft;
  bool usesRetryBudget = sends_ > 0;
  auto& retryBudget = services_.GetService(query_.service).retryBudget;
  if (allowed && (!usesRetryBudget || retryBudget.Take(services_.Now())) &&
      AcquirePlacement(!aMayHaveRun && !IsRetry())) {
    return true;
  }
  if (mayHaveRun_) {
    Fail(answer_.reason.detail);
  } else if (dispatch::IsClosed(query_.regions)) {
    RefuseClosed();
  } else {
    Refuse(ErrorKind::NoUpstream, "no upstream took the request");
  }
  return false;
}

// False if the answer had to give way to others; sets the reason.
bool
Exchange::CheckAnswerMemory(const dispatch::BufferShare& aShare)
{
  if (aShare.IsDropped()) {
    services_.GetMetrics().droppedAnswers.Add();
    answer_.reason.Set(ErrorKind::AnswerBroken, kNoAnswerMemory);
  }
  return !aShare.IsDropped();
}

bool
Exchange::ReadBody(std::string& aBody, dispatch::BufferShare& aShare)
{
  std::string part;
  int lateReads = 0;
  aBody = std::exchange(answer_.readAhead, {});
  while (!IsCallerDisconnected()) {
    aShare.Resize(aBody.capacity());
    if (!CheckAnswerMemory(aShare)) {
      return false;
    }
    auto left = GetTimeLeft();
    bool isLate = left <= Millis(0);
    lateReads += isLate ? 1 : 0;
    left = std::max(left, kMinTimeLeft);
    auto wait = hedge_ ? std::min(left, kHedgeInterval) : left;
    if (lateReads > kMaxLateReads || aBody.size() > kMaxAnswerBytes) {
      answer_.reason.Set(ErrorKind::AnswerBroken,
                         "the answer's body does not end");
      return false;
    }
    switch (answer_.stream->TryRead(part, wait, answer_.reason)) {
      case net::ReadResult::Data:
        aBody += part;
        break;
      case net::ReadResult::End:
        aShare.Pin();
        return CheckAnswerMemory(aShare);
      case net::ReadResult::Failed:
        return false;
      case net::ReadResult::Nothing:
        if (aShare.IsDropped()) {
          break;
        }
        if (hedge_ && hedge_->IsComplete()) {
          answer_.reason.Set(ErrorKind::TimedOut,
                             "another upstream answered first");
          return false;
        }
        if (isLate) {
          answer_.reason.Set(ErrorKind::TimedOut, "the body is too late");
          return false;
        }
        break;
    }
  }
  return false;
}

// Whether to repeat a safe request elsewhere after a server error.
bool
Exchange::ShouldRetryElsewhere(int aStatus)
{
  return aStatus >= kServerError && route_->kind == RequestKind::Safe &&
         sends_ < route_->maxUpstreams && GetTimeLeft() > route_->objective / 2;
}

// False if the response can't be delivered; it then counts as lost.
bool
Exchange::DeliverResponse()
{
  net::HttpResponse response;
  auto& health = lease_->GetUpstream().health;
  dispatch::BufferShare share(services_.GetAnswerBudget(), [&] {
    response.body = {};
    answer_.stream->StopWaiting();
  });
  if (!ReadBody(response.body, share)) {
    answer_.result = SendResult::Lost;
    bool isOnlySlow = hedge_ && hedge_->IsComplete();
    if (!IsCallerDisconnected() && !isOnlySlow && !HasUpstreamRunOutOfTime()) {
      health.RecordOutcome(Outcome::Failed, services_.Now());
      RecordLostConnection();
    }
    return false;
  }
  response.status = answer_.head.status;
  bool upstreamFailed = response.status >= kServerError;
  health.RecordOutcome(upstreamFailed ? Outcome::Failed : Outcome::Served,
                       services_.Now());
  bool isError = upstreamFailed || ImpliesNotExecuted(response.status);
  bool isReplaced = isError && HasHedgeAnswer();
  if (!isReplaced) {
    DiscardHedge();
  }
  if (isReplaced || ShouldRetryElsewhere(response.status) ||
      ImpliesNotExecuted(response.status)) {
    answer_.result = SendResult::Lost;
    answer_.reason.Set(ErrorKind::UpstreamFailed,
                       "the upstream answered " +
                         std::to_string(response.status));
    return false;
  }
  if (IsSuccess(response.status)) {
    RecordSurvival();
  } else {
    // Nothing was written for its prompt, so this says nothing of the parts.
    services_.GetCrashes().RecordSurvival(digest_, {}, services_.Now());
  }
  response.fields = services_.GetDialect().MakeCallerFields(answer_.fields);
  lease_.reset();
  status_ = response.status;
  firstPartAt_ = services_.Now();
  end_ = writer_.Send(response)
           ? (IsSuccess(status_) ? End::Served : End::Failed)
           : End::CallerDisconnected;
  return true;
}

} // namespace waxwingyoke::fleet
