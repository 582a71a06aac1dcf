#include <algorithm>
#include <utility>

#include "Exchange.h"

// Sends an idempotent request to a second upstream while the first one is
// silent: a sound upstream may be silent for a moment and go on. Neither of
// them is given up before the other has gone further than its head: if that
// answer then breaks off, the route may allow no third upstream.

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Events of the second upstream are held back for this time, in which it may
// break off and the first may go on. Once one of them is delivered the first is
// of no use: its later events need not continue those of the second.
constexpr Millis kHoldTime(500);
// They are delivered earlier once the first has been silent for this long:
// callers abandon a stream after two seconds without an event.
constexpr Millis kMaxSilence(1700);

} // namespace

// The same conditions as for a repeat, but without an answer to the caller.
bool
Exchange::MayHedge()
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
  if (hedge_ && hedge_->HasFailed()) {
    DiscardHedge();
  }
  if (ShouldAdoptHedge(sentAt_) && sendCanceller_) {
    sendCanceller_->Cancel();
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
  HedgeOptions options{ route_->kind == platform::RequestKind::Stream,
                        streaming_,
                        relay_ };
  hedge_ = std::make_unique<HedgedSend>(services_,
                                        std::move(lease),
                                        std::move(parameters),
                                        std::move(options),
                                        [this] { HandleHedgeProgress(); });
}

// Whether the second upstream's answer replaces the first one's, which has
// brought nothing since aQuietSince.
bool
Exchange::ShouldAdoptHedge(Millis aQuietSince) const
{
  if (!hedge_ || !hedge_->IsUsable()) {
    return false;
  }
  if (hedge_->IsComplete()) {
    return true;
  }
  auto firstEventAt = hedge_->GetFirstEventAt();
  if (!firstEventAt) {
    return false;
  }
  auto now = services_.Now();
  return now - std::max(*firstEventAt, aQuietSince) >= kHoldTime ||
         now - aQuietSince >= kMaxSilence;
}

void
Exchange::HandleHedgeProgress()
{
  if (!hedge_) {
    return;
  }
  if (answer_.stream) {
    answer_.stream->StopWaiting();
  } else if (ShouldAdoptHedge(sentAt_) && sendCanceller_) {
    sendCanceller_->Cancel();
  }
}

// Replaces the first send by its hedge if that one has ended without a head.
// One that has a head may still break off, so its hedge goes on.
void
Exchange::SettleHeadHedge()
{
  if (!hedge_ || answer_.result == SendResult::Answered) {
    return;
  }
  if (IsCallerDisconnected()) {
    DiscardHedge();
    return;
  }
  if (sendCanceller_->IsCancelled()) {
    sparedUpstream_ = lease_->GetUpstream().record.id;
    RecordHang(sentAt_, GetHeadTimeout());
  }
  mayHaveRun_ = mayHaveRun_ || answer_.result == SendResult::Lost;
  Exclude(lease_->GetUpstream().record.id);
  hedge_->WaitForAnswer();
  if (hedge_->IsCancelled()) {
    DiscardHedge();
  } else {
    AdoptHedge();
  }
}

// Waits for the hedge, if there is one.
bool
Exchange::HasHedgeAnswer()
{
  if (hedge_) {
    hedge_->WaitForAnswer();
  }
  return hedge_ && hedge_->IsUsable();
}

// Replaces an answer that broke off by the hedge's; false if there is none.
bool
Exchange::AdoptUsableHedge()
{
  if (!HasHedgeAnswer()) {
    DiscardHedge();
    return false;
  }
  AdoptHedge();
  return true;
}

// Replaces the send and its answer by those of the hedge.
void
Exchange::AdoptHedge()
{
  LogHedgeEnd(hedge_->IsUsable() ? "delivered" : "failed");
  auto& metrics = services_.GetMetrics();
  (hedge_->IsUsable() ? metrics.hedgesUsed : metrics.hedgesFailed).Add();
  answer_ = hedge_->TakeAnswer();
  lease_ = hedge_->TakeLease();
  predictedMs_ = hedgePredictedMs_;
  // The prediction is compared with the first event's arrival, not its
  // delivery.
  auto firstEventAt = hedge_->GetFirstEventAt();
  auto heldTime = firstEventAt ? services_.Now() - *firstEventAt : Millis(0);
  placedAt_ = hedgedAt_ + heldTime;
  upstreamDeadline_ = hedgedAt_ + hedge_->GetParameters().metadata.timeLeft;
  leaseVersion_ = hedge_->GetParameters().metadata.version;
  startTimeout_ = hedge_->GetParameters().startTimeout;
  sendCanceller_.reset();
  hedge_.reset();
  RecordSend();
  responseBeganAt_ = firstEventAt;
}

void
Exchange::DiscardHedge()
{
  if (!hedge_) {
    return;
  }
  bool endedItself = hedge_->HasEnded() && !hedge_->IsCancelled();
  bool hasFailed = endedItself && hedge_->HasFailed();
  LogHedgeEnd(hasFailed ? "failed" : "not needed");
  hedge_->Cancel();
  hedge_->Wait();
  auto hedge = std::move(hedge_);
  auto result = hedge->GetAnswer().result;
  bool wasSound = !hasFailed && (result == SendResult::Answered ||
                                 result == SendResult::Lost);
  if (wasSound) {
    sparedUpstream_ = hedge->GetLease().GetUpstream().record.id;
  }
  if (hasFailed) {
    services_.GetMetrics().hedgesFailed.Add();
  }
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
  auto now = services_.Now();
  auto firstEventAt = hedge_->GetFirstEventAt();
  services_.GetLogger().Info(
    "a second send has ended",
    { { "request", caller_.attemptId },
      { "upstream", lease_->GetUpstream().record.id },
      { "second", hedge_->GetParameters().metadata.upstreamId },
      { "outcome", std::string(aOutcome) },
      { "events", std::to_string(relay_.GetEventCount()) },
      { "after_ms", std::to_string((now - hedgedAt_).value) },
      { "held_ms",
        firstEventAt ? std::to_string((now - *firstEventAt).value) : "" },
      { "why", hedge_->GetAnswer().reason.detail } });
}

void
Exchange::RecordHang(Millis aQuietSince, Millis aSilenceTimeout)
{
  lease_->GetUpstream().health.RecordHang(
    aQuietSince, aSilenceTimeout, services_.Now());
}

} // namespace waxwingyoke::fleet
