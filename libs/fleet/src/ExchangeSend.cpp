#include <algorithm>
#include <array>

#include "Exchange.h"

// Sending a request to upstreams and delivering what they answer.

namespace waxwingyoke::fleet {

namespace {

using dispatch::Outcome;
using platform::RequestKind;
using utils::ErrorKind;
using utils::Millis;

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kServerError = 500;

// Statuses that tell a caller that its request has not run; an upstream's
// answer with one of them that is no proof of it is not passed on.
constexpr std::array<int, 4> kPromises{ 408, 421, 429, 503 };

// An idempotent request goes elsewhere when an upstream is silent for this
// many objectives.
constexpr int kSilentObjectives = 3;
constexpr Millis kMinSilence(700);
// Between a stream's events: this many of the longest pauses that are on
// time, then the upstream is taken as gone.
constexpr int kSilentPauses = 3;
constexpr Millis kMinStreamSilence(1200);
// Sends that could not connect: others are tried, up to this many.
constexpr int kMaxConnectFailures = 3;

bool
IsPromise(int aStatus)
{
  return std::ranges::find(kPromises, aStatus) != kPromises.end();
}

bool
IsSuccess(int aStatus)
{
  return aStatus >= kOk && aStatus < kMultipleChoices;
}

} // namespace

// Sends until there is an answer to deliver or no more may be done.
void
Exchange::Serve()
{
  while (true) {
    if (!SendOnce()) {
      return;
    }
    if (answer_.result == SendResult::Answered) {
      bool isStream =
        route_->kind == RequestKind::Stream && answer_.head.status == kOk;
      if (isStream) {
        RelayStream();
        return;
      }
      if (DeliverWhole()) {
        return;
      }
    }
    if (IsCallerGone()) {
      end_ = End::CallerGone;
      return;
    }
    bool mayHaveRun = answer_.result == SendResult::Lost;
    mayHaveRun_ = mayHaveRun_ || mayHaveRun;
    query_.excluded.push_back(lease_->GetUpstream().record.id);
    answer_.stream.reset();
    if (!MaySendAgain(mayHaveRun)) {
      return;
    }
  }
}

// False if the request has its final answer.
bool
Exchange::SendOnce()
{
  if (!CheckTrust()) {
    return false;
  }
  auto left = GetTimeLeft();
  if (left < kMinTimeLeft) {
    Fail("no time left");
    return false;
  }
  SendOrder order{ request_, caller_.attemptId, {},
                   left,     std::nullopt,      &canceller_ };
  if (leaseVersion_ > 0) {
    order.timeToBegin = services_.FindTimeToBegin(query_.model, leaseVersion_);
  }
  order.terms.upstreamId = lease_->GetUpstream().record.id;
  order.terms.version = leaseVersion_;
  order.terms.timeLeft = left;
  order.terms.organisation =
    organisation_ != nullptr ? organisation_->name : "";
  order.terms.lastEventId =
    relay_.GetLastId().empty() ? caller_.lastEventId : relay_.GetLastId();
  if (route_->IsIdempotent()) {
    auto silence = std::max(route_->objective * kSilentObjectives, kMinSilence);
    order.headTimeout = std::min(left, silence);
  }
  upstreams_ += (upstreams_.empty() ? "" : ",") + order.terms.upstreamId;
  answer_ = SendToUpstream(services_, *lease_, order);
  if (answer_.result == SendResult::NotSent) {
    ++connectFailures_;
  } else {
    ++sends_;
  }
  if (answer_.result == SendResult::Lost && !IsCallerGone()) {
    NoteLoss();
  }
  if (answer_.result == SendResult::NotRun && answer_.head.misdirected &&
      query_.engine != nullptr) {
    services_.GetBook().Doubt(
      lease_->GetUpstream(), query_, leaseVersion_, services_.Now());
  }
  return true;
}

void
Exchange::NoteLoss()
{
  if (answer_.reason.kind == ErrorKind::ConnectionLost) {
    services_.NoteBroken(lease_->GetPointer(), digest_);
  }
}

// Takes the next place, or gives the request its final answer.
bool
Exchange::MaySendAgain(bool aMayHaveRun)
{
  bool repeatable = !mayHaveRun_ || route_->IsIdempotent();
  bool allowed = repeatable && sends_ < route_->maxUpstreams &&
                 connectFailures_ <= kMaxConnectFailures &&
                 GetTimeLeft() >= kMinTimeLeft;
  bool counted = sends_ > 0;
  auto& retries = services_.GetService(query_.service).retries;
  if (allowed && (!counted || retries.Take(services_.Now())) &&
      TakePlace(!aMayHaveRun && !HasReturned())) {
    return true;
  }
  if (mayHaveRun_) {
    Fail(answer_.reason.detail);
  } else {
    Refuse(ErrorKind::NoUpstream, "no upstream took the request");
  }
  return false;
}

bool
Exchange::ReadBody(std::string& aBody)
{
  std::string part;
  while (true) {
    auto left = std::max(GetTimeLeft(), kMinTimeLeft);
    switch (answer_.stream->Read(part, left, answer_.reason)) {
      case net::ReadResult::Data:
        aBody += part;
        break;
      case net::ReadResult::End:
        return true;
      case net::ReadResult::Failed:
        return false;
    }
  }
}

// An idempotent request that its upstream failed may do better elsewhere.
bool
Exchange::IsWorthAnother(int aStatus)
{
  return aStatus >= kServerError && route_->kind == RequestKind::Safe &&
         sends_ < route_->maxUpstreams && GetTimeLeft() > route_->objective / 2;
}

// False if there is nothing to deliver, and the answer counts as lost.
bool
Exchange::DeliverWhole()
{
  net::HttpResponse response;
  auto& health = lease_->GetUpstream().health;
  if (!ReadBody(response.body)) {
    answer_.result = SendResult::Lost;
    if (!IsCallerGone()) {
      health.Note(Outcome::Failed, services_.Now());
      NoteLoss();
    }
    return false;
  }
  response.status = answer_.head.status;
  bool ownFailure = response.status >= kServerError;
  health.Note(ownFailure ? Outcome::Failed : Outcome::Served, services_.Now());
  if (IsWorthAnother(response.status) || IsPromise(response.status)) {
    answer_.result = SendResult::Lost;
    answer_.reason.Set(ErrorKind::UpstreamFailed,
                       "the upstream answered " +
                         std::to_string(response.status));
    return false;
  }
  services_.GetCrashes().Clear(digest_);
  response.fields = services_.GetDialect().MakeCallerFields(answer_.fields);
  lease_.reset();
  status_ = response.status;
  firstPartAt_ = services_.Now();
  end_ = writer_.Send(response)
           ? (IsSuccess(status_) ? End::Served : End::Failed)
           : End::CallerGone;
  return true;
}

void
Exchange::RelayStream()
{
  auto fields = services_.GetDialect().MakeCallerFields(answer_.fields);
  status_ = answer_.head.status;
  streaming_ = true;
  if (!writer_.Start(status_, fields)) {
    end_ = End::CallerGone;
    return;
  }
  while (!ForwardEvents()) {
    if (IsCallerGone()) {
      end_ = End::CallerGone;
      return;
    }
    if (!ResumeElsewhere()) {
      why_ = "stream broken off: " + answer_.reason.detail;
      end_ = End::Failed;
      return;
    }
  }
}

void
Exchange::NoteEvents()
{
  auto now = services_.Now();
  if (firstPartAt_ == Millis(0)) {
    firstPartAt_ = now;
    services_.GetService(query_.service)
      .bias.Note(
        predictedMs_, static_cast<double>((now - placedAt_).value), now);
  } else {
    longestPause_ = std::max(longestPause_, now - lastEventAt_);
  }
  lastEventAt_ = now;
}

// Forwards one upstream's events as they come; false if it broke off.
bool
Exchange::ForwardEvents()
{
  auto silence =
    std::max(route_->pauseLimit * kSilentPauses, kMinStreamSilence);
  auto& health = lease_->GetUpstream().health;
  std::string part;
  while (true) {
    auto wait = std::min(silence, GetTimeLeft());
    if (wait <= Millis(0)) {
      answer_.reason.Set(ErrorKind::DeadlineExceeded, "time is up");
      return false;
    }
    auto result = answer_.stream->Read(part, wait, answer_.reason);
    if (result == net::ReadResult::Failed) {
      if (!IsCallerGone()) {
        health.Note(Outcome::Failed, services_.Now());
        NoteLoss();
      }
      return false;
    }
    if (result == net::ReadResult::End) {
      health.Note(Outcome::Served, services_.Now());
      services_.GetCrashes().Clear(digest_);
      lease_.reset();
      auto rest = relay_.TakeRest();
      bool sent = (rest.empty() || writer_.Write(rest)) && writer_.Finish();
      end_ = sent ? End::Served : End::CallerGone;
      return true;
    }
    relay_.Add(part);
    auto events = relay_.TakeEvents();
    if (events.empty()) {
      continue;
    }
    NoteEvents();
    lease_->NoteFirstEvent();
    if (!writer_.Write(events)) {
      canceller_.Cancel();
      return false;
    }
  }
}

// Goes on with a broken stream at another upstream, after the last whole
// event.
bool
Exchange::ResumeElsewhere()
{
  mayHaveRun_ = true;
  relay_.BeginAnew();
  query_.excluded.push_back(lease_->GetUpstream().record.id);
  query_.preferredVersion = leaseVersion_;
  while (true) {
    answer_.stream.reset();
    bool allowed = route_->resumable && sends_ < route_->maxUpstreams &&
                   connectFailures_ <= kMaxConnectFailures &&
                   GetTimeLeft() >= kMinTimeLeft &&
                   services_.GetTrust() != dispatch::Trust::KeylessOnly;
    auto& retries = services_.GetService(query_.service).retries;
    if (!allowed || !retries.Take(services_.Now()) || !TakePlace(false) ||
        !SendOnce()) {
      return false;
    }
    if (answer_.result == SendResult::Answered && answer_.head.status == kOk) {
      services_.GetMetrics().resumed.Add();
      return true;
    }
    query_.excluded.push_back(lease_->GetUpstream().record.id);
  }
}

} // namespace waxwingyoke::fleet
