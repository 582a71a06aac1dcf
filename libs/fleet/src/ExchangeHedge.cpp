#include <algorithm>
#include <utility>

#include "Exchange.h"

// Sends an idempotent request to a second upstream while the first one is
// silent. The first one is given up only once the second has answered: a sound
// upstream may be silent for a moment and go on.

namespace waxwingyoke::fleet {

namespace {

using dispatch::Outcome;
using utils::Millis;

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;

} // namespace

// The same conditions as for a repeat, but without an answer to the caller.
bool
Exchange::MayHedge() const
{
  bool keyHolds = organisation_ == nullptr ||
                  services_.GetTrust() != dispatch::Trust::KeylessOnly;
  auto now = services_.Now();
  auto& crashes = services_.GetCrashes();
  bool isQuarantined = crashes.GetQuarantine().Find(parts_, now).has_value() ||
                       crashes.IsRequestQuarantined(digest_, now);
  return !hedge_ && !IsCallerDisconnected() && route_->IsIdempotent() &&
         sends_ < route_->maxUpstreams && GetTimeLeft() >= kMinTimeLeft &&
         keyHolds && !isQuarantined;
}

// Called while the upstream's answer has not begun. Another upstream has to be
// able to begin in time, as the first one may only be busy.
void
Exchange::HedgeHead()
{
  auto now = services_.Now();
  auto& upstream = lease_->GetUpstream();
  upstream.health.RecordSilence(sentAt_, now);
  if (hedge_ && hedge_->HasEnded() && !IsHedgeUsable()) {
    DiscardHedge();
  }
  if (!MayHedge()) {
    return;
  }
  UpdateQuery(true);
  Exclude(upstream.record.id);
  auto placement = services_.GetUpstreams().FindPlacement(query_, now);
  if (placement) {
    StartHedge(*placement);
  }
}

void
Exchange::HedgeStream(Millis aQuietSince)
{
  auto now = services_.Now();
  auto& upstream = lease_->GetUpstream();
  upstream.health.RecordSilence(aQuietSince, now);
  if (!MayHedge()) {
    return;
  }
  UpdateQuery(true);
  Exclude(upstream.record.id);
  query_.preferredVersion = leaseVersion_;
  auto placement = services_.GetUpstreams().FindFallbackPlacement(query_, now);
  if (placement) {
    StartHedge(*placement);
  }
}

void
Exchange::StartHedge(const dispatch::Placement& aPlacement)
{
  auto& retryBudget = services_.GetService(query_.service).retryBudget;
  if (!retryBudget.Take(services_.Now())) {
    return;
  }
  ++sends_;
  hedgedAt_ = services_.Now();
  hedgePredictedMs_ = aPlacement.predictedMs;
  services_.GetMetrics().hedges.Add();
  auto lease = std::make_unique<UpstreamLease>(
    services_, aPlacement.upstream, caller_.promptTokens);
  auto parameters = MakeSendParameters(*lease, aPlacement.version);
  services_.GetLogger().Info(
    "an upstream is silent: also sent to another one",
    { { "request", caller_.attemptId },
      { "upstream", lease_->GetUpstream().record.id },
      { "second", parameters.metadata.upstreamId },
      { "events", std::to_string(relay_.GetEventCount()) } });
  hedge_ = std::make_unique<HedgedSend>(services_,
                                        std::move(lease),
                                        std::move(parameters),
                                        [this] { HandleHedgeEnd(); });
}

bool
Exchange::IsHedgeUsable() const
{
  const auto& answer = hedge_->GetAnswer();
  if (answer.result != SendResult::Answered) {
    return false;
  }
  if (route_->kind == platform::RequestKind::Stream) {
    return answer.head.status == kOk &&
           (!streaming_ || answer.head.isEventStream);
  }
  return answer.head.status >= kOk && answer.head.status < kMultipleChoices;
}

void
Exchange::HandleHedgeEnd()
{
  if (!hedge_) {
    return;
  }
  if (answer_.stream) {
    answer_.stream->StopWaiting();
  } else if (IsHedgeUsable() && sendCanceller_) {
    sendCanceller_->Cancel();
  }
}

// Decides between the first send, which has ended, and its hedge.
void
Exchange::SettleHeadHedge()
{
  if (!hedge_) {
    return;
  }
  if (answer_.result == SendResult::Answered || IsCallerDisconnected()) {
    DiscardHedge();
    return;
  }
  hedge_->Wait();
  if (sendCanceller_->IsCancelled()) {
    RecordHang(sentAt_);
  }
  mayHaveRun_ = mayHaveRun_ || answer_.result == SendResult::Lost;
  Exclude(lease_->GetUpstream().record.id);
  AdoptHedge();
}

// Replaces the send and its answer by those of the hedge.
void
Exchange::AdoptHedge()
{
  bool isAnswered = hedge_->GetAnswer().result == SendResult::Answered;
  LogHedgeEnd(isAnswered ? "delivered" : "failed");
  auto& metrics = services_.GetMetrics();
  (isAnswered ? metrics.hedgesUsed : metrics.hedgesFailed).Add();
  lease_ = hedge_->TakeLease();
  predictedMs_ = hedgePredictedMs_;
  placedAt_ = hedgedAt_;
  leaseVersion_ = hedge_->GetParameters().metadata.version;
  startTimeout_ = hedge_->GetParameters().startTimeout;
  answer_ = hedge_->TakeAnswer();
  sendCanceller_.reset();
  hedge_.reset();
  RecordSend();
}

void
Exchange::DiscardHedge()
{
  if (!hedge_) {
    return;
  }
  bool endedItself = hedge_->HasEnded();
  bool hasFailed = endedItself && !IsHedgeUsable();
  LogHedgeEnd(hasFailed ? "failed" : "not needed");
  if (hasFailed) {
    services_.GetMetrics().hedgesFailed.Add();
  }
  hedge_->Cancel();
  hedge_->Wait();
  auto hedge = std::move(hedge_);
  auto result = hedge->GetAnswer().result;
  if (endedItself) {
    RecordFailedSend(hedge->GetAnswer(),
                     hedge->GetLease(),
                     hedge->GetParameters().metadata.version);
  }
  if (endedItself || result != SendResult::NotSent) {
    Exclude(hedge->GetLease().GetUpstream().record.id);
  }
  if (result == SendResult::NotSent) {
    --sends_;
  }
  mayHaveRun_ =
    mayHaveRun_ || result == SendResult::Lost || result == SendResult::Answered;
}

void
Exchange::LogHedgeEnd(std::string_view aOutcome) const
{
  services_.GetLogger().Info(
    "a second send has ended",
    { { "request", caller_.attemptId },
      { "upstream", lease_->GetUpstream().record.id },
      { "second", hedge_->GetParameters().metadata.upstreamId },
      { "outcome", std::string(aOutcome) },
      { "events", std::to_string(relay_.GetEventCount()) },
      { "after_ms", std::to_string((services_.Now() - hedgedAt_).value) },
      { "why", hedge_->GetAnswer().reason.detail } });
}

// A request that received nothing while others at the same upstream did hangs
// there; the upstream was not only silent.
void
Exchange::RecordHang(Millis aQuietSince)
{
  auto& health = lease_->GetUpstream().health;
  if (health.HasBeenActiveSince(aQuietSince)) {
    health.RecordOutcome(Outcome::Failed, services_.Now());
  }
}

} // namespace waxwingyoke::fleet
