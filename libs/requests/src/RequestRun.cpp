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
constexpr Millis kCatchUpWait(1000);
constexpr Millis kRetryAfter(1000);
// An idempotent request is soon tried elsewhere; for another the side that
// has it is the only one that can answer.
constexpr Millis kShortPatience(300);
constexpr Millis kLongPatience(5000);

std::uint64_t
Draw()
{
  thread_local std::mt19937_64 tRandom(std::random_device{}());
  return tRandom();
}

// Whether the error speaks of the upstream's health, not of the request or
// of a side that does its duty.
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
    answered = TryOnce();
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
RequestRun::TryOnce()
{
  // Again before each attempt: the profile may have changed meanwhile.
  if (!entry_.Check(request_, profile_, error_)) {
    return Fail();
  }
  idempotent_ =
    IsIdempotent(profile_.requests(), request_.method, request_.path);
  auto routes = entry_.routes.Get();
  const auto* candidate = Choose(routes->Find(request_.profile));
  if (!candidate) {
    if (!error_.IsSet()) {
      error_.Set(ErrorKind::NoUpstream, "no upstream serves the profile now");
      retryAfter_ = kRetryAfter;
    }
    return Fail();
  }
  auto attempt = MakeAttempt(*candidate);
  if (IsKeyed()) {
    auto claimed = ClaimKey(attempt, *candidate);
    if (claimed != Claimed::Granted) {
      return claimed == Claimed::Answered;
    }
  }
  if (clock_.Now() >= deadline_) {
    error_.Set(ErrorKind::Overloaded, "the deadline passed before a slot");
    return Fail();
  }
  return Conclude(*candidate, Send(*candidate, attempt));
}

bool
RequestRun::Conclude(const routing::Candidate& aCandidate,
                     const AttemptResult& aResult)
{
  if (aResult.callerGone) {
    return true;
  }
  if (!aResult.error.IsSet()) {
    sink_.Finish();
    return true;
  }
  error_ = aResult.error;
  return MayGoOn(aCandidate, aResult) ? false : Fail();
}

RequestRun::Claimed
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
  claim.set_replaces_attempt(replaces_);
  auto reply = entry_.claims.Claim(claim, deadline_, error_);
  if (!reply) {
    retryAfter_ = kRetryAfter;
    Fail();
    return Claimed::Answered;
  }
  if (reply->verdict() == schema::GRANTED) {
    replaces_ = aAttempt.attempt();
    return Claimed::Granted;
  }
  if (reply->verdict() == schema::OTHER_BODY) {
    error_.Set(ErrorKind::KeyReused, "the key was used for another request");
    Fail();
    return Claimed::Answered;
  }
  return FollowRepeat(reply->claim());
}

// The key's first attempt belongs to another request of the caller's: its
// answer is this one's, or proof that it never ran lets this one take over.
RequestRun::Claimed
RequestRun::FollowRepeat(const schema::Claim& aClaim)
{
  auto view = entry_.node.GetView();
  const auto* member = view->FindMember(aClaim.side());
  AttemptResult result;
  result.error.Set(ErrorKind::OutcomeUnknown, "the side that had it is gone");
  if (member) {
    // Older than the attempt can be, so that the side forgets nothing in it.
    auto age = utils::GetWallTime() - request_.key->issued + kKeySkew;
    SideAddress side{ member->GetControlEndpoint(), aClaim.incarnation() };
    AttemptOptions options{ deadline_, kLongPatience, false };
    result = entry_.call.Follow(side, aClaim.attempt(), age, options, sink_);
  }
  if (result.callerGone) {
    return Claimed::Answered;
  }
  if (!result.error.IsSet()) {
    sink_.Finish();
    return Claimed::Answered;
  }
  error_ = result.error;
  bool notRun = utils::GetErrorTraits(error_.kind).run == utils::RunOutcome::No;
  if (!notRun || sink_.HasGiven()) {
    Fail();
    return Claimed::Answered;
  }
  replaces_ = aClaim.attempt();
  sink_.Reset();
  return Claimed::Again;
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
  query.random = Draw();
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
  // A caller that left may come back with its key.
  AttemptOptions options{ deadline_,
                          idempotent_ ? kShortPatience : kLongPatience,
                          !IsKeyed() };
  aCandidate.state->Begin();
  auto result = entry_.call.Run(side, attempt, options, sink_);
  aCandidate.state->End();
  Learn(aCandidate, result);
  return result;
}

void
RequestRun::Learn(const routing::Candidate& aCandidate,
                  const AttemptResult& aResult)
{
  if (aResult.callerGone) {
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
  LearnStrike(aResult);
}

void
RequestRun::LearnStrike(const AttemptResult& aResult)
{
  if (aResult.end.strike() != schema::NO_STRIKE) {
    entry_.strikes.Report(request_.digest, aResult.end.strike());
    return;
  }
  bool isCleared = !aResult.error.IsSet() &&
                   entry_.strikes.Find(request_.digest) == Suspicion::Suspect;
  if (isCleared) {
    entry_.strikes.Report(request_.digest, schema::NO_STRIKE);
  }
}

bool
RequestRun::MayGoOn(const routing::Candidate& aCandidate,
                    const AttemptResult& aResult)
{
  static auto& sRetries =
    telemetry::Metrics::Get().GetCounter("entry_retries_total");
  auto kind = error_.kind;
  mayHaveRun_ |= utils::GetErrorTraits(kind).run != utils::RunOutcome::No;
  retryAfter_ = Millis(aResult.end.retry_after_ms());
  auto next = DecideNext(kind, idempotent_);
  bool mayResume = idempotent_ && request_.isChat && !sink_.IsParted();
  if (next == NextStep::GiveUp || (sink_.HasGiven() && !mayResume) ||
      (next == NextStep::TryOnBudget && !entry_.budget.Take())) {
    return false;
  }
  if (sink_.HasGiven() && version_.empty()) {
    version_ = aResult.version;
  }
  bool isBehind = aResult.end.profile_revision() > profile_.revision();
  if (kind == ErrorKind::StaleRevision && isBehind) {
    entry_.node.CatchUp(aResult.end.profile_revision(), kCatchUpWait);
  } else {
    excluded_.push_back(aCandidate.incarnation);
  }
  sink_.Reset();
  sRetries.Add();
  return true;
}

} // namespace waxwingyoke::requests
