#include "Exchange.h"

#include <algorithm>
#include <array>
#include <utility>

#include <utils/Hash.h>

namespace waxwingyoke::fleet {

namespace {

using dispatch::Outcome;
using platform::RequestKind;
using utils::ErrorKind;
using utils::Millis;

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimedOut = 504;

// Statuses that tell a caller that its request has not run; an upstream's
// answer with one of them that is no proof of it is not passed on.
constexpr std::array<int, 4> kPromises{ 408, 421, 429, 503 };

// A request that can't be placed at once waits for this share of its
// objective: a place that frees up later comes too late for it.
constexpr double kWaitShare = 0.12;
// One that was told to return waits longer for its place.
constexpr double kReturnedWaitShare = 0.6;
// A returning caller's answer is late already. It gets a place where a new one
// would, so that it never waits in an upstream's queue before those that can
// still be in time; with little time left, within this share of it.
constexpr double kLateShare = 0.35;
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
// Under this much time no upstream can do anything.
constexpr Millis kMinTimeLeft(30);
// Before a configuration is known there is nothing to tell but "soon".
constexpr Millis kRetryUnknown(500);

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

Millis
Scale(Millis aTime, double aFactor)
{
  return Millis(
    static_cast<std::int64_t>(static_cast<double>(aTime.value) * aFactor));
}

} // namespace

Exchange::Exchange(EntryServices& aServices,
                   const net::HttpRequest& aRequest,
                   net::ResponseWriter& aWriter)
  : services_(aServices)
  , request_(aRequest)
  , writer_(aWriter)
  , caller_(aServices.GetDialect().Read(aRequest))
  , arrivedAt_(aServices.Now())
{
}

void
Exchange::Run()
{
  services_.GetMetrics().requests.Add();
  if (FindTerms() && CheckKey() && CheckTrust() && CheckQuarantine()) {
    writer_.OnPeerGone([this] { canceller_.Cancel(); });
    services_.GetService(query_.service).retries.NoteFirst(services_.Now());
    if (WaitForPlace()) {
      Serve();
    }
  }
  lease_.reset();
  LogEnd();
}

Millis
Exchange::GetElapsed() const
{
  return services_.Now() - arrivedAt_;
}

Millis
Exchange::GetTimeLeft() const
{
  return deadline_ - services_.Now();
}

bool
Exchange::FindTerms()
{
  config_ = services_.GetConfig().GetConfig();
  if (!config_) {
    Refuse(ErrorKind::NoUpstream, "no configuration is known yet");
    return false;
  }
  route_ = config_->FindRoute(caller_.host, caller_.path);
  if (route_ == nullptr) {
    // An old configuration may lack a route that is there by now.
    if (services_.GetTrust() == dispatch::Trust::Full) {
      Deny(kNotFound, "no such route");
    } else {
      Refuse(ErrorKind::StaleRevision, "the configuration may be old");
    }
    return false;
  }
  auto patience = caller_.patience.value_or(route_->timeout);
  deadline_ = arrivedAt_ + std::min(patience, route_->timeout);
  digest_ = MakeDigest();
  auto firstCame = services_.GetRefusals().Find(digest_);
  elapsedBefore_ = firstCame ? arrivedAt_ - *firstCame : Millis(0);
  PickService();
  return service_ != nullptr;
}

// The same for each attempt of a caller, at any entry.
std::uint64_t
Exchange::MakeDigest() const
{
  auto digest = utils::StableHash(caller_.apiKey);
  digest = utils::StableHash(request_.target, digest);
  digest = utils::StableHash(caller_.promptParts, digest);
  return utils::StableHash(request_.body, digest);
}

bool
Exchange::CheckKey()
{
  if (config_->organisations.empty() || route_->isPublic) {
    return true;
  }
  organisation_ = config_->FindOrganisation(caller_.apiKey);
  if (organisation_ != nullptr) {
    return true;
  }
  if (services_.GetTrust() == dispatch::Trust::Full) {
    Deny(kUnauthorized, "unknown key");
  } else {
    Refuse(ErrorKind::StaleRevision, "the configuration may be old");
  }
  return false;
}

// Holds for each send: a key may have been taken away while the request
// waited.
bool
Exchange::CheckTrust()
{
  if (organisation_ == nullptr ||
      services_.GetTrust() != dispatch::Trust::KeylessOnly) {
    return true;
  }
  Refuse(ErrorKind::StaleRevision, "whether the key still holds is not known");
  return false;
}

bool
Exchange::CheckQuarantine()
{
  if (!services_.GetCrashes().IsQuarantined(digest_, services_.Now())) {
    return true;
  }
  Refuse(ErrorKind::Quarantined, "upstreams crashed under this request");
  return false;
}

// A split route deals its requests by their ids.
void
Exchange::PickService()
{
  std::uint64_t total = 0;
  for (const auto& share : route_->shares) {
    total += share.weight;
  }
  if (total == 0) {
    Refuse(ErrorKind::NoUpstream, "the route names no service");
    return;
  }
  auto draw = utils::StableHash(caller_.attemptId) % total;
  auto picked = std::ranges::find_if(
    route_->shares, [&draw](const platform::ServiceShare& aShare) {
      bool hit = draw < aShare.weight;
      draw -= hit ? 0 : aShare.weight;
      return hit;
    });
  service_ = config_->FindService(picked->service);
  if (service_ == nullptr) {
    Refuse(ErrorKind::NoUpstream, "the route's service is not described");
    return;
  }
  MakeQuery();
}

void
Exchange::MakeQuery()
{
  query_.service = service_->name;
  query_.engine = services_.FindEngine(*service_);
  if (service_->engine) {
    query_.model = service_->engine->model;
    query_.layers = service_->engine->layers;
  }
  query_.promptTokens = caller_.promptTokens;
  query_.dataCentre = services_.GetSettings().dataCentre;
}

Millis
Exchange::GetWaitLimit() const
{
  return Scale(route_->objective,
               HasReturned() ? kReturnedWaitShare : kWaitShare);
}

bool
Exchange::TakePlace(bool aMustMeetObjective)
{
  auto now = services_.Now();
  auto toObjective = route_->objective - elapsedBefore_ - GetElapsed();
  query_.timeLeft = HasReturned() ? std::min(route_->objective,
                                             Scale(GetTimeLeft(), kLateShare))
                                  : toObjective;
  query_.minVersion = services_.FindMinVersion(query_.model);
  auto& book = services_.GetBook();
  auto place = aMustMeetObjective ? book.FindPlace(query_, now)
                                  : book.FindAnyPlace(query_, now);
  if (!place) {
    return false;
  }
  lease_.reset();
  lease_ = std::make_unique<UpstreamLease>(
    services_, place->upstream, caller_.promptTokens);
  leaseVersion_ = place->version;
  predictedMs_ = place->predictedMs;
  return true;
}

// Waits a moment for a place if there is none; refuses without one.
bool
Exchange::WaitForPlace()
{
  auto& line = services_.GetService(query_.service).line;
  if (line.IsEmpty() && TakePlace(true)) {
    return true;
  }
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable woken;
  bool placed = false;
  dispatch::Waiter waiter;
  waiter.priority = organisation_ != nullptr
                      ? organisation_->priority.value_or(route_->priority)
                      : route_->priority;
  waiter.returned = HasReturned();
  waiter.arrived = arrivedAt_;
  waiter.tryTake = [this] { return TakePlace(true); };
  waiter.wake = [&] {
    placed = true;
    woken.notify_all();
  };
  auto ticket = line.Join(std::move(waiter));
  line.Serve();
  std::unique_lock lock(mutex);
  auto limit = std::chrono::steady_clock::now() + GetWaitLimit().ToChrono();
  woken.wait_until(lock, limit, [&] { return placed || IsCallerGone(); });
  line.Leave(ticket);
  if (!placed) {
    Refuse(ErrorKind::Overloaded, "no upstream has room in time");
  }
  return placed;
}

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
  SendOrder order{ request_, caller_.attemptId, {}, left, &canceller_ };
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
    if (firstPartAt_ == Millis(0)) {
      firstPartAt_ = services_.Now();
    }
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

void
Exchange::Refuse(ErrorKind aKind, std::string_view aText)
{
  if (streaming_) {
    return;
  }
  // It has not run here; whether it did elsewhere is the caller's to know.
  if (mayHaveRun_) {
    Fail(aText);
    return;
  }
  auto retryAfter = kRetryUnknown;
  if (service_ != nullptr) {
    dispatch::Refusal refusal{ digest_, arrivedAt_ - elapsedBefore_ };
    services_.GetRefusals().Note(refusal, services_.Now());
    services_.GetRefusals().Announce(refusal);
    services_.NoteUseChange();
    retryAfter =
      services_.GetService(service_->name).returns.PlanReturn(services_.Now());
  }
  end_ = End::Refused;
  why_ = std::string(utils::GetName(aKind)) + ": " + std::string(aText);
  Answer(kUnavailable, aText, retryAfter);
}

void
Exchange::Deny(int aStatus, std::string_view aText)
{
  end_ = End::Denied;
  why_ = aText;
  Answer(aStatus, aText, std::nullopt);
}

void
Exchange::Fail(std::string_view aText)
{
  if (streaming_) {
    return;
  }
  if (!mayHaveRun_ && sends_ == 0) {
    Refuse(ErrorKind::DeadlineExceeded, aText);
    return;
  }
  end_ = End::Failed;
  why_ = aText;
  bool late = GetTimeLeft() < kMinTimeLeft;
  Answer(late ? kTimedOut : kBadGateway, aText, std::nullopt);
}

void
Exchange::Answer(int aStatus,
                 std::string_view aText,
                 std::optional<Millis> aRetryAfter)
{
  status_ = aStatus;
  lease_.reset();
  writer_.Send(services_.GetDialect().MakeOwnAnswer(
    aStatus, aText, caller_.attemptId, aRetryAfter));
}

void
Exchange::LogEnd()
{
  struct EndName
  {
    End end;
    const char* name;
  };
  constexpr std::array<EndName, 5> kEnds{ {
    { End::Served, "served" },
    { End::Refused, "refused" },
    { End::Denied, "denied" },
    { End::Failed, "failed" },
    { End::CallerGone, "caller gone" },
  } };
  auto& metrics = services_.GetMetrics();
  auto took = GetElapsed();
  if (end_ == End::Served) {
    metrics.served.Add();
    metrics.requestMs.Add(static_cast<double>(took.value));
    metrics.firstPartMs.Add(
      static_cast<double>((firstPartAt_ - arrivedAt_).value));
  } else if (end_ == End::Refused) {
    metrics.refused.Add();
  } else if (end_ == End::Failed) {
    metrics.failed.Add();
  }
  auto text = [](auto aNumber) { return std::to_string(aNumber); };
  auto first =
    firstPartAt_ == Millis(0) ? Millis(-1) : firstPartAt_ - arrivedAt_;
  services_.GetLogger().Info(
    std::ranges::find(kEnds, end_, &EndName::end)->name,
    { { "request", caller_.attemptId },
      { "route", route_ != nullptr ? route_->name : "" },
      { "organisation", organisation_ != nullptr ? organisation_->name : "" },
      { "config", text(config_ ? config_->version : 0) },
      { "config_age_ms", text(services_.GetConfig().GetAge().value) },
      { "upstreams", upstreams_ },
      { "weights", text(leaseVersion_) },
      { "predicted_ms", text(static_cast<std::int64_t>(predictedMs_)) },
      { "first_ms", text(first.value) },
      { "took_ms", text(took.value) },
      { "elapsed_before_ms", text(elapsedBefore_.value) },
      { "sends", text(sends_) },
      { "status", text(status_) },
      { "why", why_ } });
}

} // namespace waxwingyoke::fleet
