#include "RequestRun.h"

#include <algorithm>
#include <random>
#include <utility>

#include <telemetry/Metrics.h>
#include <utils/Hash.h>

#include "RetryRule.h"

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr int kMaxAttempts = 6;
constexpr Millis kCatchUpTimeout(1000);
constexpr Millis kDefaultRetryAfter(1000);
// An idempotent request can be retried on another side soon. Any other request
// can be answered only by the side that received it, so the entry reconnects
// for longer.
constexpr Millis kShortReconnectTimeout(300);
constexpr Millis kLongReconnectTimeout(5000);

std::uint64_t
DrawRandom()
{
  thread_local std::mt19937_64 tRandom(std::random_device{}());
  return tRandom();
}

// Whether the error counts against the upstream's health. Errors of the request
// itself and refusals by a working side don't.
bool
IsUpstreamFault(ErrorKind aKind)
{
  return aKind == ErrorKind::ConnectFailed ||
         aKind == ErrorKind::ConnectionLost || aKind == ErrorKind::TimedOut ||
         aKind == ErrorKind::OutcomeUnknown ||
         aKind == ErrorKind::UpstreamFailed;
}

} // namespace

RequestRun::RequestRun(Entry::Impl& aEntry,
                       const CallerRequest& aRequest,
                       std::string aTraceparent,
                       net::ResponseWriter& aWriter)
  : entry_(aEntry)
  , request_(aRequest)
  , traceparent_(std::move(aTraceparent))
  , sink_(aWriter, aRequest.isChat)
  , deadline_(clock_.Now() + aRequest.timeout)
{
}

void
RequestRun::Run()
{
  entry_.budget.OnRequest();
  bool answered = false;
  for (int i = 0; i < kMaxAttempts && !answered; ++i) {
    answered = RunAttempt();
  }
  if (!answered) {
    sink_.Fail(MakeFinalError(error_, mayHaveRun_), retryAfter_);
  }
}

bool
RequestRun::Fail()
{
  sink_.Fail(MakeFinalError(error_, mayHaveRun_), retryAfter_);
  return true;
}

bool
RequestRun::RunAttempt()
{
  // Checked before each attempt because the profile may have changed.
  if (!entry_.CheckRequest(request_, profile_, error_)) {
    return Fail();
  }
  idempotent_ =
    IsIdempotent(profile_.requests(), request_.method, request_.path);
  auto routes = entry_.routes.Get();
  const auto* candidate = Choose(routes->Find(request_.profile));
  if (!candidate) {
    if (!error_.IsSet()) {
      error_.Set(ErrorKind::NoUpstream,
                 "no upstream currently serves the profile");
      retryAfter_ = kDefaultRetryAfter;
    }
    return Fail();
  }
  auto attempt = MakeAttempt(*candidate);
  if (IsKeyed()) {
    auto outcome = ClaimKey(attempt, *candidate);
    if (outcome != ClaimOutcome::Granted) {
      return outcome == ClaimOutcome::Answered;
    }
  }
  if (clock_.Now() >= deadline_) {
    error_.Set(ErrorKind::Overloaded,
               "the deadline passed before the attempt was sent");
    return Fail();
  }
  return HandleResult(*candidate, Send(*candidate, attempt));
}

bool
RequestRun::HandleResult(const routing::Candidate& aCandidate,
                         const AttemptResult& aResult)
{
  if (aResult.callerDisconnected) {
    return true;
  }
  if (!aResult.error.IsSet()) {
    sink_.Finish();
    return true;
  }
  error_ = aResult.error;
  return PrepareRetry(aCandidate, aResult) ? false : Fail();
}

RequestRun::ClaimOutcome
RequestRun::ClaimKey(const schema::AttemptRequest& aAttempt,
                     const routing::Candidate& aCandidate)
{
  schema::Claim claim;
  claim.set_organisation(request_.organisation);
  claim.set_key(request_.key->text);
  claim.set_request_digest(request_.digest);
  claim.set_attempt(aAttempt.attempt());
  claim.set_side(aCandidate.vm);
  claim.set_incarnation(aCandidate.incarnation);
  claim.set_replaces_attempt(replacedAttempt_);
  auto reply = entry_.claims.Claim(claim, deadline_, error_);
  if (!reply) {
    retryAfter_ = kDefaultRetryAfter;
    Fail();
    return ClaimOutcome::Answered;
  }
  if (reply->verdict() == schema::GRANTED) {
    replacedAttempt_ = aAttempt.attempt();
    return ClaimOutcome::Granted;
  }
  if (reply->verdict() == schema::OTHER_BODY) {
    error_.Set(ErrorKind::KeyReused,
               "the key was already used for a different request");
    Fail();
    return ClaimOutcome::Answered;
  }
  return FollowEarlierAttempt(reply->claim());
}

// Another request of the caller holds the claim on this key. Returns that
// attempt's answer to the caller, or replaces the attempt if its side confirms
// that it did not run.
RequestRun::ClaimOutcome
RequestRun::FollowEarlierAttempt(const schema::Claim& aClaim)
{
  auto view = entry_.node.GetView();
  const auto* member = view->FindMember(aClaim.side());
  AttemptResult result;
  result.error.Set(
    ErrorKind::OutcomeUnknown,
    "the side that holds the earlier attempt is no longer a member");
  if (member) {
    // An upper bound of the attempt's age. The side answers FORGOTTEN if its
    // records don't reach back that far.
    auto age = utils::GetWallTime() - request_.key->issued + kMaxClockSkew;
    SideAddress side{ member->GetControlEndpoint(), aClaim.incarnation() };
    AttemptOptions options{ deadline_, kLongReconnectTimeout, false };
    result = entry_.call.Attach(side, aClaim.attempt(), age, options, sink_);
  }
  if (result.callerDisconnected) {
    return ClaimOutcome::Answered;
  }
  if (!result.error.IsSet()) {
    sink_.Finish();
    return ClaimOutcome::Answered;
  }
  error_ = result.error;
  bool notRun = utils::GetErrorTraits(error_.kind).run == utils::RunOutcome::No;
  if (!notRun || sink_.HasSentData()) {
    Fail();
    return ClaimOutcome::Answered;
  }
  replacedAttempt_ = aClaim.attempt();
  sink_.Reset();
  return ClaimOutcome::Retry;
}

const routing::Candidate*
RequestRun::Choose(const routing::Candidates& aCandidates)
{
  const auto& self = entry_.node.GetSettings();
  routing::ChoiceQuery query;
  query.policy = entry_.policy;
  query.affinity = request_.affinity;
  query.dataCentre = self.data_centre();
  query.region = self.region();
  query.excluded = excluded_;
  query.version = version_;
  query.now = clock_.Now();
  query.random = DrawRandom();
  return routing::Choose(aCandidates, query);
}

schema::AttemptRequest
RequestRun::MakeAttempt(const routing::Candidate& aCandidate)
{
  schema::AttemptRequest attempt;
  attempt.set_attempt(utils::MakeUniqueId());
  attempt.set_organisation(request_.organisation);
  attempt.set_profile(request_.profile);
  attempt.set_profile_revision(profile_.revision());
  attempt.set_incarnation(aCandidate.incarnation);
  attempt.set_method(request_.method);
  attempt.set_path(request_.path);
  for (const auto& field : request_.fields) {
    auto* copy = attempt.add_fields();
    copy->set_name(field.name);
    copy->set_value(field.value);
  }
  attempt.set_body(request_.body);
  attempt.set_priority(request_.priority);
  attempt.set_idempotent(idempotent_);
  attempt.set_request_digest(request_.digest);
  attempt.set_traceparent(traceparent_);
  attempt.set_suspect(entry_.strikes.Find(request_.digest) ==
                      Suspicion::Suspect);
  attempt.set_version(version_);
  attempt.set_keyed(request_.key.has_value());
  return attempt;
}

AttemptResult
RequestRun::Send(const routing::Candidate& aCandidate,
                 const schema::AttemptRequest& aAttempt)
{
  auto attempt = aAttempt;
  attempt.set_deadline_ms((deadline_ - clock_.Now()).value);
  SideAddress side{ aCandidate.endpoint, aCandidate.incarnation };
  // A keyed attempt is not cancelled when the caller disconnects, because the
  // caller may retry with the same key.
  AttemptOptions options{ deadline_,
                          idempotent_ ? kShortReconnectTimeout
                                      : kLongReconnectTimeout,
                          !IsKeyed() };
  aCandidate.state->Begin();
  auto result = entry_.call.Run(side, attempt, options, sink_);
  aCandidate.state->End();
  RecordResult(aCandidate, result);
  return result;
}

void
RequestRun::RecordResult(const routing::Candidate& aCandidate,
                         const AttemptResult& aResult)
{
  if (aResult.callerDisconnected) {
    return;
  }
  if (aResult.hasEnd) {
    aCandidate.state->SetReported(aResult.end.running());
  }
  if (IsUpstreamFault(aResult.error.kind)) {
    aCandidate.state->OnFailure(clock_.Now());
  } else {
    aCandidate.state->OnSuccess(clock_.Now());
  }
  ReportStrike(aResult);
}

void
RequestRun::ReportStrike(const AttemptResult& aResult)
{
  if (aResult.end.strike() != schema::NO_STRIKE) {
    entry_.strikes.Report(request_.digest, aResult.end.strike());
    return;
  }
  bool ranToEnd = !aResult.error.IsSet() &&
                  entry_.strikes.Find(request_.digest) == Suspicion::Suspect;
  if (ranToEnd) {
    entry_.strikes.Report(request_.digest, schema::NO_STRIKE);
  }
}

bool
RequestRun::PrepareRetry(const routing::Candidate& aCandidate,
                         const AttemptResult& aResult)
{
  static auto& sRetries =
    telemetry::Metrics::Get().GetCounter("entry_retries_total");
  auto kind = error_.kind;
  mayHaveRun_ |= utils::GetErrorTraits(kind).run != utils::RunOutcome::No;
  retryAfter_ = Millis(aResult.end.retry_after_ms());
  auto next = DecideNext(kind, idempotent_);
  bool mayResume = idempotent_ && request_.isChat && !sink_.HasDiverged();
  if (next == NextStep::GiveUp || (sink_.HasSentData() && !mayResume) ||
      (next == NextStep::RetryWithinBudget && !entry_.budget.Take())) {
    return false;
  }
  if (sink_.HasSentData() && version_.empty()) {
    version_ = aResult.version;
  }
  bool isBehind = aResult.end.profile_revision() > profile_.revision();
  if (kind == ErrorKind::StaleRevision && isBehind) {
    entry_.node.CatchUp(aResult.end.profile_revision(), kCatchUpTimeout);
  } else {
    excluded_.push_back(aCandidate.incarnation);
  }
  sink_.Reset();
  sRetries.Add();
  return true;
}

} // namespace waxwingyoke::requests
