#include "SideImpl.h"

#include <algorithm>
#include <utility>

#include <net/Runtime.h>
#include <telemetry/Metrics.h>
#include <telemetry/Span.h>

#include "Frames.h"

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr Millis kHeartbeatInterval(500);
constexpr Millis kPeerCheckInterval(100);
// An entry whose connection failed attaches again well within this time.
constexpr Millis kOrphanTimeout(3000);
constexpr Millis kCatchUpTimeout(1000);
constexpr int kOk = 200;
// Memory of a held answer in addition to its data, bytes.
constexpr std::size_t kHeldAnswerOverhead = 512;

telemetry::Counter&
GetCounter(const char* aName)
{
  return telemetry::Metrics::Get().GetCounter(aName);
}

bool
HasValidDigest(const net::HttpRequest& aRequest)
{
  return aRequest.fields.Find(kBodyDigestField) ==
         utils::Digest::Of(aRequest.body).ToHex();
}

} // namespace

Side::Impl::Impl(const schema::DaemonSettings& aSettings,
                 membership::Node& aNode,
                 net::HttpClient& aClient,
                 ServingHook aServing)
  : node(aNode)
  , getServing(std::move(aServing))
  , gate(aSettings.side().slots(), aSettings.side().queue())
  , upstreamClient(aClient, upstream)
{
  upstream.endpoint =
    net::Endpoint::Parse(aSettings.side().upstream()).value_or(net::Endpoint{});
  upstream.isEngine = aSettings.side().kind() == "engine";
}

void
Side::Impl::HandleAttempt(const net::HttpRequest& aRequest,
                          net::ResponseWriter& aWriter)
{
  auto request = std::make_shared<schema::AttemptRequest>();
  utils::Error reason;
  if (!HasValidDigest(aRequest)) {
    reason.Set(ErrorKind::DigestMismatch,
               "the attempt does not match its body digest");
    SendRefusal(reason, aWriter);
    return;
  }
  if (!request->ParseFromString(aRequest.body) || request->attempt().empty()) {
    reason.Set(ErrorKind::BadRequest, "the body is not a valid attempt");
    SendRefusal(reason, aWriter);
    return;
  }
  if (request->incarnation() != node.GetIncarnation()) {
    reason.Set(ErrorKind::StaleRevision,
               "the attempt is addressed to another incarnation");
    SendRefusal(reason, aWriter);
    return;
  }
  auto answer = std::make_shared<Answer>();
  auto begun = attempts.With(
    request->attempt(), [&](AttemptRegistry& aRegistry, Millis aNow) {
      return aRegistry.Begin(request->attempt(), answer, aNow);
    });
  if (begun != BeginResult::Begun) {
    reason.Set(begun == BeginResult::Barred ? ErrorKind::Barred
                                            : ErrorKind::OutcomeUnknown,
               "the attempt's id is barred or was used before");
    SendRefusal(reason, aWriter);
    return;
  }
  onLiveBytes(aRequest.body.size());
  auto deadline = clock.Now() + Millis(request->deadline_ms());
  net::Runtime::SpawnHere(
    [self = shared_from_this(), request, answer, deadline] {
      self->Execute(*request, answer, deadline);
    });
  Deliver(answer, 0, aWriter);
  CancelIfOrphaned(*request, answer);
}

void
Side::Impl::CancelIfOrphaned(const schema::AttemptRequest& aRequest,
                             const std::shared_ptr<Answer>& aAnswer)
{
  if (!aRequest.idempotent() || aAnswer->IsEnded()) {
    return;
  }
  net::Runtime::SpawnHere(
    [self = shared_from_this(), aAnswer, attempt = aRequest.attempt()] {
      net::Runtime::Sleep(kOrphanTimeout);
      if (!aAnswer->HasReaders() && !aAnswer->IsEnded()) {
        aAnswer->Cancel();
        self->upstreamClient.Cancel(attempt);
      }
    });
}

void
Side::Impl::HandleAttach(const net::HttpRequest& aRequest,
                         net::ResponseWriter& aWriter)
{
  schema::AttachRequest request;
  utils::Error reason;
  if (!HasValidDigest(aRequest) || !request.ParseFromString(aRequest.body)) {
    // A plain HTTP error: nothing is decided about the attempt, so the entry
    // must not receive an end mark.
    reason.Set(ErrorKind::BadRequest,
               "not a valid attach request, or its digest differs");
    aWriter.Send(net::MakeErrorResponse(reason));
    return;
  }
  schema::AskRequest query;
  query.set_attempt(request.attempt());
  query.set_incarnation(request.incarnation());
  query.set_age_ms(request.age_ms());
  auto state = QueryState(query);
  if (state == schema::BARRED) {
    reason.Set(ErrorKind::Barred, "the attempt never began here");
    SendRefusal(reason, aWriter);
    return;
  }
  auto answer = attempts.With(request.attempt(),
                              [&request](AttemptRegistry& aRegistry, Millis) {
                                return aRegistry.FindAnswer(request.attempt());
                              });
  if (state == schema::REFUSED && !answer) {
    reason.Set(ErrorKind::Barred, "the attempt was refused here");
    SendRefusal(reason, aWriter);
    return;
  }
  if (state == schema::FORGOTTEN || !answer) {
    reason.Set(ErrorKind::OutcomeUnknown, "the answer is no longer held");
    SendRefusal(reason, aWriter);
    return;
  }
  Deliver(answer, request.from_byte(), aWriter);
}

schema::AttemptState
Side::Impl::QueryState(const schema::AskRequest& aRequest)
{
  if (aRequest.incarnation() != node.GetIncarnation()) {
    return schema::FORGOTTEN;
  }
  return attempts.With(aRequest.attempt(),
                       [&aRequest](AttemptRegistry& aRegistry, Millis aNow) {
                         return aRegistry.QueryOrBar(
                           aRequest.attempt(), Millis(aRequest.age_ms()), aNow);
                       });
}

bool
Side::Impl::HandleAsk(const schema::AskRequest& aRequest,
                      schema::AskReply& aReply)
{
  aReply.set_state(QueryState(aRequest));
  aReply.set_incarnation(node.GetIncarnation());
  return true;
}

bool
Side::Impl::HandleBar(const schema::AskRequest& aRequest,
                      schema::AskReply& aReply)
{
  HandleAsk(aRequest, aReply);
  if (aReply.state() != schema::RUNNING) {
    return true;
  }
  auto answer = attempts.With(aRequest.attempt(),
                              [&aRequest](AttemptRegistry& aRegistry, Millis) {
                                return aRegistry.FindAnswer(aRequest.attempt());
                              });
  if (answer) {
    answer->Cancel();
    upstreamClient.Cancel(aRequest.attempt());
  }
  return true;
}

void
Side::Impl::Deliver(const std::shared_ptr<Answer>& aAnswer,
                    std::uint64_t aFrom,
                    net::ResponseWriter& aWriter)
{
  aAnswer->AddReader();
  ++deliveries;
  bool isOpen = aWriter.Start(
    kOk, { { "Content-Type", "application/vnd.waxwingyoke.frames" } });
  bool hasHead = false;
  std::string out;
  Millis nextPeerCheck;
  while (isOpen) {
    auto part = aAnswer->Wait(hasHead, aFrom, kHeartbeatInterval);
    out.clear();
    schema::AnswerFrame frame;
    if (part.head) {
      hasHead = true;
      *frame.mutable_head() = std::move(*part.head);
      AppendFrame(frame, out);
    }
    aFrom += part.data.size();
    AppendData(part.data, out);
    if (part.end) {
      *frame.mutable_end() = *part.end;
      AppendFrame(frame, out);
    } else if (out.empty()) {
      frame.mutable_heartbeat()->set_queued(!hasHead);
      AppendFrame(frame, out);
    }
    isOpen = aWriter.Write(out);
    // The check costs a system call, so it is not made for every token.
    auto now = clock.Now();
    if (isOpen && now >= nextPeerCheck) {
      isOpen = !aWriter.IsPeerDisconnected();
      nextPeerCheck = now + kPeerCheckInterval;
    }
    if (part.end) {
      aWriter.Finish();
      break;
    }
  }
  aAnswer->RemoveReader();
  --deliveries;
}

void
Side::Impl::SendRefusal(const utils::Error& aError,
                        net::ResponseWriter& aWriter)
{
  schema::AnswerFrame frame;
  FillEnd({}, aError, *frame.mutable_end());
  frame.mutable_end()->set_digest(utils::Digest::Of("").ToHex());
  std::string out;
  AppendFrame(frame, out);
  net::HttpResponse response;
  response.body = std::move(out);
  aWriter.Send(response);
}

bool
Side::Impl::CheckConfig(const schema::AttemptRequest& aRequest,
                        utils::Error& aReason)
{
  auto revision = aRequest.profile_revision();
  auto config = node.GetView()->config;
  // A profile's revision is the offset of its change in the log plus one.
  if (config->nextOffset < revision &&
      !node.CatchUp(revision, kCatchUpTimeout)) {
    aReason.Set(ErrorKind::StaleRevision,
                "this side's configuration is older than the entry's");
    return false;
  }
  config = node.GetView()->config;
  const auto* profile = config->FindProfile(aRequest.profile());
  if (!profile) {
    aReason.Set(ErrorKind::UnknownProfile, aRequest.profile());
    return false;
  }
  if (profile->revision() != revision) {
    aReason.Set(ErrorKind::StaleRevision,
                "the entry's profile revision is older than this side's");
    return false;
  }
  if (config->quarantine.contains(aRequest.request_digest())) {
    aReason.Set(ErrorKind::Quarantined, "the request is quarantined");
    return false;
  }
  return true;
}

bool
Side::Impl::CheckServing(const schema::AttemptRequest& aRequest,
                         Serving& aServing,
                         utils::Error& aReason)
{
  aServing = getServing();
  if (aServing.profile.empty() || aServing.profile != aRequest.profile()) {
    aReason.Set(ErrorKind::StaleRevision, "the profile is not served here");
    return false;
  }
  bool isOtherVersion =
    !aRequest.version().empty() && aRequest.version() != aServing.version;
  if (isOtherVersion) {
    aReason.Set(ErrorKind::StaleRevision, "another version is served here");
  }
  return !isOtherVersion;
}

void
Side::Impl::Execute(const schema::AttemptRequest& aRequest,
                    const std::shared_ptr<Answer>& aAnswer,
                    Millis aDeadline)
{
  telemetry::Span span("side.attempt", aRequest.traceparent());
  schema::AttemptRequest request = aRequest;
  request.set_traceparent(span.GetTraceparent());
  SlotRequest slotRequest;
  slotRequest.organisation = request.organisation();
  slotRequest.priority = request.priority();
  slotRequest.deadline = aDeadline;
  slotRequest.suspect = request.suspect();
  utils::Error reason;
  schema::AnswerEnd end;
  bool isAdmitted =
    CheckConfig(request, reason) &&
    gate.Acquire(
      slotRequest, [&] { return aAnswer->IsCancelled(); }, reason);
  bool isComplete =
    isAdmitted && RunAdmitted(request, *aAnswer, slotRequest, end, reason);
  FillEnd(request, isComplete ? utils::Error{} : reason, end);
  auto run = utils::GetErrorTraits(reason.kind).run;
  bool isRefused = !isComplete && run == utils::RunOutcome::No;
  attempts.With(
    request.attempt(), [&](AttemptRegistry& aRegistry, Millis aNow) {
      aRegistry.Finish(request.attempt(),
                       isRefused ? schema::REFUSED : schema::FINISHED,
                       aAnswer->GetBytes() + kHeldAnswerOverhead,
                       aNow);
    });
  span.Set("error", end.error());
  aAnswer->End(std::move(end));
}

bool
Side::Impl::RunAdmitted(const schema::AttemptRequest& aRequest,
                        Answer& aAnswer,
                        const SlotRequest& aSlotRequest,
                        schema::AnswerEnd& aEnd,
                        utils::Error& aReason)
{
  if (aRequest.suspect()) {
    crashAttribution.EnterSuspect();
  }
  auto startIncarnation = upstreamClient.GetIncarnation();
  Serving servingAtStart;
  bool isComplete = CheckServing(aRequest, servingAtStart, aReason) &&
                    upstreamClient.Run(aRequest,
                                       servingAtStart.version,
                                       aSlotRequest.deadline,
                                       aAnswer,
                                       aReason);
  bool hasFailed = !isComplete && aReason.kind == ErrorKind::UpstreamFailed;
  bool hasCrashed = hasFailed && upstreamClient.HasCrashed(startIncarnation);
  if (hasCrashed) {
    GetCounter("side_upstream_deaths_total").Add();
    aEnd.set_strike(crashAttribution.Classify(aRequest.suspect(), clock.Now()));
  }
  if (aRequest.suspect()) {
    crashAttribution.LeaveSuspect(hasCrashed, clock.Now());
  }
  gate.Release(aSlotRequest.ticket);
  aEnd.set_version(getServing().version);
  if (isComplete && aEnd.version() != servingAtStart.version) {
    aReason.Set(ErrorKind::VersionChanged,
                "the upstream's version changed during the attempt");
    return false;
  }
  return isComplete;
}

void
Side::Impl::FillEnd(const schema::AttemptRequest& aRequest,
                    const utils::Error& aError,
                    schema::AnswerEnd& aEnd)
{
  auto load = gate.GetLoad();
  aEnd.set_error(std::string(utils::GetName(aError.kind)));
  aEnd.set_detail(aError.detail);
  aEnd.set_incarnation(node.GetIncarnation());
  aEnd.set_running(static_cast<std::uint32_t>(load.running));
  aEnd.set_slots(static_cast<std::uint32_t>(load.slots));
  if (aError.kind == ErrorKind::Overloaded) {
    aEnd.set_retry_after_ms(std::max(load.wait, Millis(100)).value);
  }
  const auto* profile = node.GetView()->config->FindProfile(aRequest.profile());
  if (profile) {
    aEnd.set_profile_revision(profile->revision());
  }
  GetCounter(aError.IsSet() ? "side_attempts_failed_total"
                            : "side_attempts_whole_total")
    .Add();
}

} // namespace waxwingyoke::requests
