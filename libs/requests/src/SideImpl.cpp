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

constexpr Millis kHeartbeat(500);
constexpr Millis kLookInterval(100);
// An entry that lost its connection comes back well within this.
constexpr Millis kOrphanTime(3000);
constexpr Millis kCatchUpWait(1000);
constexpr int kOk = 200;
// What an empty answer that is held takes, bytes.
constexpr std::size_t kHeldOverhead = 512;

telemetry::Counter&
GetCounter(const char* aName)
{
  return telemetry::Metrics::Get().GetCounter(aName);
}

bool
HasRightDigest(const net::HttpRequest& aRequest)
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
  , serving(std::move(aServing))
  , gate(aSettings.side().slots(), aSettings.side().queue())
  , runner(aClient, upstream)
{
  upstream.endpoint =
    net::Endpoint::Parse(aSettings.side().upstream()).value_or(net::Endpoint{});
  upstream.isEngine = aSettings.side().kind() == "engine";
}

void
Side::Impl::TakeAttempt(const net::HttpRequest& aRequest,
                        net::ResponseWriter& aWriter)
{
  auto request = std::make_shared<schema::AttemptRequest>();
  utils::Error reason;
  if (!HasRightDigest(aRequest)) {
    reason.Set(ErrorKind::DigestMismatch, "the attempt was changed on its way");
    RefuseWith(reason, aWriter);
    return;
  }
  if (!request->ParseFromString(aRequest.body) || request->attempt().empty()) {
    reason.Set(ErrorKind::BadRequest, "not an attempt");
    RefuseWith(reason, aWriter);
    return;
  }
  if (request->incarnation() != node.GetIncarnation()) {
    reason.Set(ErrorKind::StaleRevision, "meant for an earlier process");
    RefuseWith(reason, aWriter);
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
               "the attempt's id was used before");
    RefuseWith(reason, aWriter);
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
      net::Runtime::Sleep(kOrphanTime);
      if (!aAnswer->HasReaders() && !aAnswer->IsEnded()) {
        aAnswer->Cancel();
        self->runner.Cancel(attempt);
      }
    });
}

void
Side::Impl::Attach(const net::HttpRequest& aRequest,
                   net::ResponseWriter& aWriter)
{
  schema::AttachRequest request;
  utils::Error reason;
  if (!HasRightDigest(aRequest) || !request.ParseFromString(aRequest.body)) {
    // Says nothing of the attempt, so it must not look like its end.
    reason.Set(ErrorKind::BadRequest, "not an attachment");
    aWriter.Send(net::MakeErrorResponse(reason));
    return;
  }
  schema::AskRequest question;
  question.set_attempt(request.attempt());
  question.set_incarnation(request.incarnation());
  question.set_age_ms(request.age_ms());
  auto state = AskTable(question);
  if (state == schema::BARRED) {
    reason.Set(ErrorKind::Barred, "the attempt never began here");
    RefuseWith(reason, aWriter);
    return;
  }
  auto answer = attempts.With(request.attempt(),
                              [&request](AttemptRegistry& aRegistry, Millis) {
                                return aRegistry.FindAnswer(request.attempt());
                              });
  if (state == schema::REFUSED && !answer) {
    reason.Set(ErrorKind::Barred, "the attempt was refused here");
    RefuseWith(reason, aWriter);
    return;
  }
  if (state == schema::FORGOTTEN || !answer) {
    reason.Set(ErrorKind::OutcomeUnknown, "the answer is no longer held");
    RefuseWith(reason, aWriter);
    return;
  }
  Deliver(answer, request.from_byte(), aWriter);
}

schema::AttemptState
Side::Impl::AskTable(const schema::AskRequest& aRequest)
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
Side::Impl::Ask(const schema::AskRequest& aRequest, schema::AskReply& aReply)
{
  aReply.set_state(AskTable(aRequest));
  aReply.set_incarnation(node.GetIncarnation());
  return true;
}

bool
Side::Impl::Bar(const schema::AskRequest& aRequest, schema::AskReply& aReply)
{
  Ask(aRequest, aReply);
  if (aReply.state() != schema::RUNNING) {
    return true;
  }
  auto answer = attempts.With(aRequest.attempt(),
                              [&aRequest](AttemptRegistry& aRegistry, Millis) {
                                return aRegistry.FindAnswer(aRequest.attempt());
                              });
  if (answer) {
    answer->Cancel();
    runner.Cancel(aRequest.attempt());
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
  bool open = aWriter.Start(
    kOk, { { "Content-Type", "application/vnd.waxwingyoke.frames" } });
  bool hasHead = false;
  std::string out;
  Millis nextLook;
  while (open) {
    auto part = aAnswer->Wait(hasHead, aFrom, kHeartbeat);
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
    open = aWriter.Write(out);
    // A look costs a system call, so not with every token.
    auto now = clock.Now();
    if (open && now >= nextLook) {
      open = !aWriter.IsPeerGone();
      nextLook = now + kLookInterval;
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
Side::Impl::RefuseWith(const utils::Error& aError, net::ResponseWriter& aWriter)
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
  // A revision is one more than the offset of its change.
  if (config->nextOffset < revision && !node.CatchUp(revision, kCatchUpWait)) {
    aReason.Set(ErrorKind::StaleRevision, "this side is behind the entry");
    return false;
  }
  config = node.GetView()->config;
  const auto* profile = config->FindProfile(aRequest.profile());
  if (!profile) {
    aReason.Set(ErrorKind::UnknownProfile, aRequest.profile());
    return false;
  }
  if (profile->revision() != revision) {
    aReason.Set(ErrorKind::StaleRevision, "the entry is behind this side");
    return false;
  }
  if (config->quarantine.contains(aRequest.request_digest())) {
    aReason.Set(ErrorKind::Quarantined, "the request is quarantined");
    return false;
  }
  return true;
}

bool
Side::Impl::Check(const schema::AttemptRequest& aRequest,
                  Serving& aServing,
                  utils::Error& aReason)
{
  aServing = serving();
  if (aServing.profile.empty() || aServing.profile != aRequest.profile()) {
    aReason.Set(ErrorKind::StaleRevision, "the profile is not served here");
    return false;
  }
  bool otherVersion =
    !aRequest.version().empty() && aRequest.version() != aServing.version;
  if (otherVersion) {
    aReason.Set(ErrorKind::StaleRevision, "another version is served here");
  }
  return !otherVersion;
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
  bool whole =
    isAdmitted && RunAdmitted(request, *aAnswer, slotRequest, end, reason);
  FillEnd(request, whole ? utils::Error{} : reason, end);
  auto run = utils::GetErrorTraits(reason.kind).run;
  bool refused = !whole && run == utils::RunOutcome::No;
  attempts.With(request.attempt(),
                [&](AttemptRegistry& aRegistry, Millis aNow) {
                  aRegistry.Finish(request.attempt(),
                                   refused ? schema::REFUSED : schema::FINISHED,
                                   aAnswer->GetBytes() + kHeldOverhead,
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
    deaths.EnterSuspect();
  }
  auto process = runner.GetIncarnation();
  Serving begun;
  bool whole =
    Check(aRequest, begun, aReason) &&
    runner.Run(
      aRequest, begun.version, aSlotRequest.deadline, aAnswer, aReason);
  bool lost = !whole && aReason.kind == ErrorKind::UpstreamFailed;
  bool died = lost && runner.HasCrashed(process);
  if (died) {
    GetCounter("side_upstream_deaths_total").Add();
    aEnd.set_strike(deaths.Judge(aRequest.suspect(), clock.Now()));
  }
  if (aRequest.suspect()) {
    deaths.LeaveSuspect(died, clock.Now());
  }
  gate.Release(aSlotRequest.ticket);
  aEnd.set_version(serving().version);
  if (whole && aEnd.version() != begun.version) {
    aReason.Set(ErrorKind::VersionChanged, "the version changed meanwhile");
    return false;
  }
  return whole;
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
