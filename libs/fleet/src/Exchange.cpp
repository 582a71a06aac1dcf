#include "Exchange.h"

#include <algorithm>
#include <utility>

#include <utils/Hash.h>

namespace waxwingyoke::fleet {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;

// Longest wait for a slot, as a share of the route's objective. In a slot that
// becomes free later the first event would miss the objective.
constexpr double kWaitShare = 0.4;
// The same for a retried request, which may wait longer. A longer wait than
// this delays the response to requests that are then refused anyway.
constexpr double kRetryWaitShare = 0.6;
// A retried request is already late. It is placed where a new request would be,
// so that it never queues at an upstream ahead of requests that can still meet
// their objective. With little time left, its predicted first event has to come
// within this share of that time.
constexpr double kRetryTimeShare = 0.35;

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
  , parts_(HashParts(caller_.sharedParts))
{
}

void
Exchange::Run()
{
  services_.GetMetrics().requests.Add();
  services_.AddExchange(*this);
  if (!services_.IsAccepting()) {
    Refuse(ErrorKind::Leaving, "this entry is stopping");
  } else if (ResolveRoute() && CheckKey() && CheckConfigFreshness() &&
             CheckRegions() && CheckQuarantine()) {
    writer_.SetDisconnectHook([this] { HandleCallerDisconnect(); });
    services_.GetService(query_.service)
      .retryBudget.RecordFirstSend(services_.Now());
    if (WaitForPlacement()) {
      Serve();
    }
  }
  DiscardHedge();
  lease_.reset();
  services_.RemoveExchange(*this);
  LogEnd();
}

void
Exchange::HandleCallerDisconnect()
{
  callerDisconnected_ = true;
  CancelWaits();
}

void
Exchange::Stop()
{
  if (!writer_.IsStarted()) {
    isStopped_ = true;
    CancelWaits();
  }
}

// Ends whatever the request waits for, so that no upstream works for it on.
void
Exchange::CancelWaits()
{
  if (sendCanceller_) {
    sendCanceller_->Cancel();
  }
  if (hedge_) {
    hedge_->Cancel();
  }
  if (answer_.stream) {
    answer_.stream->Cancel();
  }
}

Millis
Exchange::GetElapsed() const
{
  return services_.Now() - arrivedAt_;
}

Millis
Exchange::GetTimeLeft()
{
  FollowTimeLimit();
  return isStopped_ ? Millis(0) : deadline_ - services_.Now();
}

// A longer limit that comes into force holds for requests under way, too. Under
// a shorter one they keep the limit that they were accepted under.
void
Exchange::FollowTimeLimit()
{
  auto config = services_.GetConfig().GetConfig();
  if (!config || config == limitConfig_) {
    return;
  }
  const auto* route = config->FindRoute(caller_.host, caller_.path);
  limitConfig_ = std::move(config);
  bool isSame = route != nullptr && route->name == route_->name;
  if (isSame && route->timeout > timeLimit_) {
    timeLimit_ = route->timeout;
    deadline_ =
      arrivedAt_ +
      std::min(caller_.callerTimeout.value_or(timeLimit_), timeLimit_);
  }
}

// An upstream stops at the time that its send stated, although the request has
// more time since: that is no failure.
bool
Exchange::HasUpstreamRunOutOfTime() const
{
  return upstreamDeadline_ < deadline_ && services_.Now() >= upstreamDeadline_;
}

bool
Exchange::ResolveRoute()
{
  config_ = services_.GetConfig().GetConfig();
  if (!config_) {
    Refuse(ErrorKind::NoUpstream, "no configuration has been received yet");
    return false;
  }
  route_ = config_->FindRoute(caller_.host, caller_.path);
  if (route_ == nullptr) {
    // An outdated configuration may lack a route that was added since.
    if (services_.GetTrust() == dispatch::Trust::Full) {
      Deny(kNotFound, "no such route");
    } else {
      Refuse(ErrorKind::StaleRevision, "the configuration may be out of date");
    }
    return false;
  }
  FollowTimeLimit();
  digest_ = MakeDigest();
  auto firstAttemptAt = services_.GetRefusals().Find(digest_);
  elapsedBefore_ = firstAttemptAt ? arrivedAt_ - *firstAttemptAt : Millis(0);
  PickService();
  return service_ != nullptr;
}

// Equal for all attempts of a caller with the same request, at any entry.
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
  if (!config_->needsKeys || route_->isPublic) {
    return true;
  }
  organisation_ = config_->FindOrganisation(caller_.apiKey);
  if (organisation_ != nullptr) {
    return true;
  }
  if (services_.GetTrust() == dispatch::Trust::Full) {
    Deny(kUnauthorized, "unknown key");
  } else {
    Refuse(ErrorKind::StaleRevision, "the configuration may be out of date");
  }
  return false;
}

// Checked before each send: a key may have been revoked while the request
// waited.
bool
Exchange::CheckConfigFreshness()
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
  auto now = services_.Now();
  const auto& crashes = services_.GetCrashes();
  auto part = crashes.GetQuarantine().Find(parts_, now);
  if (!part && !crashes.IsRequestQuarantined(digest_, now)) {
    return true;
  }
  services_.GetMetrics().quarantineRefusals.Add();
  std::string text = "upstreams crashed while they ran this request";
  if (part) {
    auto index = std::ranges::find(parts_, *part) - parts_.begin();
    text = "upstreams crashed while they ran requests with part " +
           caller_.sharedParts[static_cast<std::size_t>(index)] +
           " of the prompt";
  }
  Refuse(ErrorKind::Quarantined, text);
  return false;
}

// Routes with several services distribute requests by the attempt's id.
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
    Refuse(ErrorKind::NoUpstream,
           "the route's service is not in the configuration");
    return;
  }
  MakeQuery();
}

void
Exchange::MakeQuery()
{
  query_.service = service_->name;
  engine_ = services_.FindEngine(*service_);
  query_.engine = engine_.get();
  if (service_->engine) {
    query_.model = service_->engine->model;
    query_.layers = service_->engine->layers;
  }
  query_.promptTokens = caller_.promptTokens;
  query_.dataCentre = services_.GetSettings().dataCentre;
  query_.entryHash = utils::StableHash(services_.GetSettings().vm);
  BindRegions();
}

// A request that no region may run is refused before any upstream is chosen.
bool
Exchange::CheckRegions()
{
  // The organisation is known by now.
  BindRegions();
  if (!dispatch::IsClosed(query_.regions)) {
    return true;
  }
  RefuseClosed();
  return false;
}

// Binds the request to the regions of the configuration that it arrived under
// and to those of the newest one.
void
Exchange::BindRegions()
{
  regionsConfig_ = services_.GetConfig().GetConfig();
  query_.regions.reset();
  auto bind = [this](const auto* aRule) {
    if (aRule != nullptr) {
      query_.regions =
        dispatch::CombineRegions(query_.regions, aRule->homeRegions);
    }
  };
  bind(route_);
  bind(organisation_);
  if (regionsConfig_ && regionsConfig_ != config_) {
    bind(FindSameRoute(*regionsConfig_));
    bind(FindSameOrganisation(*regionsConfig_));
  }
}

void
Exchange::FollowRegions()
{
  if (services_.GetConfig().GetConfig() != regionsConfig_) {
    BindRegions();
  }
}

// The request's own route in another configuration; null if there is none. The
// names of routes need not be unique, so the one that takes its path comes
// first.
const platform::Route*
Exchange::FindSameRoute(const platform::FleetConfig& aConfig) const
{
  const auto* route = aConfig.FindRoute(caller_.host, caller_.path);
  if (route != nullptr && route->name == route_->name) {
    return route;
  }
  auto row =
    std::ranges::find(aConfig.routes, route_->name, &platform::Route::name);
  return row == aConfig.routes.end() ? nullptr : &*row;
}

// The same for its organisation, whose key may have been replaced.
const platform::Organisation*
Exchange::FindSameOrganisation(const platform::FleetConfig& aConfig) const
{
  if (organisation_ == nullptr) {
    return nullptr;
  }
  const auto* organisation = aConfig.FindOrganisation(caller_.apiKey);
  if (organisation != nullptr && organisation->name == organisation_->name) {
    return organisation;
  }
  auto row = std::ranges::find(
    aConfig.organisations, organisation_->name, &platform::Organisation::name);
  return row == aConfig.organisations.end() ? nullptr : &*row;
}

Millis
Exchange::GetWaitLimit() const
{
  return Scale(route_->objective, IsRetry() ? kRetryWaitShare : kWaitShare);
}

// A late request, whose first event can't meet the objective any more, gets a
// part of the time that is left.
void
Exchange::UpdateQuery(bool aIsLate)
{
  FollowRegions();
  auto now = services_.Now();
  auto toObjective = route_->objective - elapsedBefore_ - GetElapsed();
  query_.timeLeft =
    aIsLate ? std::min(route_->objective, Scale(GetTimeLeft(), kRetryTimeShare))
            : toObjective;
  query_.minVersion = services_.FindMinVersion(query_.model);
  query_.biasMs =
    services_.GetService(query_.service).predictionBias.GetMs(now);
}

// Leases a slot for the request, with aMustMeetObjective only one in which its
// first event is predicted to be in time.
bool
Exchange::AcquirePlacement(bool aMustMeetObjective)
{
  UpdateQuery(IsRetry());
  auto now = services_.Now();
  auto& upstreams = services_.GetUpstreams();
  auto placement = aMustMeetObjective
                     ? upstreams.FindPlacement(query_, now)
                     : upstreams.FindFallbackPlacement(query_, now);
  if (!placement) {
    return false;
  }
  lease_.reset();
  lease_ = std::make_unique<UpstreamLease>(
    services_, placement->upstream, caller_.promptTokens);
  leaseVersion_ = placement->version;
  predictedMs_ = placement->predictedMs;
  placedAt_ = now;
  return true;
}

// When an upstream takes the request again, if all that serve it are paused or
// at their rate limit.
std::optional<dispatch::SendOpening>
Exchange::FindOpening() const
{
  return services_.GetUpstreams().FindOpening(query_, services_.Now());
}

bool
Exchange::IsEvacuated() const
{
  return services_.GetUpstreams().IsEvacuated(query_, services_.Now());
}

bool
Exchange::RefuseIfEvacuated()
{
  bool isEvacuated = IsEvacuated();
  if (isEvacuated) {
    Refuse(ErrorKind::NoUpstream,
           "no upstream outside evacuated data centres serves this request");
  }
  return isEvacuated;
}

// Refuses a request that no wait in the queue can help.
bool
Exchange::RefuseIfUnservable()
{
  if (dispatch::IsClosed(query_.regions)) {
    RefuseClosed();
    return true;
  }
  if (RefuseIfEvacuated()) {
    return true;
  }
  if (!IsRetry() &&
      !services_.GetUpstreams().HasServingUpstream(query_, services_.Now())) {
    Refuse(ErrorKind::NoUpstream, "no upstream currently serves this request");
    return true;
  }
  auto opening = FindOpening();
  if (!opening) {
    return false;
  }
  auto ahead = services_.GetService(query_.service)
                 .waitQueue.CountCompeting(query_.regions);
  auto wait = opening->at - services_.Now() + opening->interval * ahead;
  if (!opening->isForThisEntry || wait >= GetWaitLimit()) {
    Refuse(ErrorKind::Overloaded,
           "all upstreams are paused or at their rate limit");
    return true;
  }
  return false;
}

// Waits for a slot if none is free; refuses the request if there is none in
// time.
bool
Exchange::WaitForPlacement()
{
  auto& waitQueue = services_.GetService(query_.service).waitQueue;
  if (waitQueue.IsEmpty() && AcquirePlacement(true)) {
    return true;
  }
  if (RefuseIfUnservable()) {
    return false;
  }
  boost::fibers::mutex mutex;
  bool placed = false;
  dispatch::QueuedRequest queuedRequest;
  queuedRequest.priority =
    organisation_ != nullptr
      ? organisation_->priority.value_or(route_->priority)
      : route_->priority;
  queuedRequest.isRetry = IsRetry();
  queuedRequest.arrived = arrivedAt_;
  queuedRequest.regions = query_.regions;
  queuedRequest.tryPlace = [&] {
    bool isPlaced = AcquirePlacement(true);
    if (dispatch::IsClosed(query_.regions)) {
      queueCondition_.notify_all();
    }
    return isPlaced;
  };
  queuedRequest.onPlaced = [&] {
    placed = true;
    queueCondition_.notify_all();
  };
  auto ticket = waitQueue.Insert(std::move(queuedRequest));
  waitQueue.PlaceQueued();
  std::unique_lock lock(mutex);
  auto limit = std::chrono::steady_clock::now() + GetWaitLimit().ToChrono();
  queueCondition_.wait_until(lock, limit, [&] {
    return placed || IsCallerDisconnected() || IsEvacuated() ||
           dispatch::IsClosed(query_.regions);
  });
  waitQueue.Remove(ticket);
  if (!placed && dispatch::IsClosed(query_.regions)) {
    RefuseClosed();
    // Those behind it may have been left out of the pass that found it closed.
    waitQueue.PlaceQueued();
  } else if (!placed && !RefuseIfEvacuated()) {
    Refuse(ErrorKind::Overloaded, "no upstream has room in time");
  }
  return placed;
}

} // namespace waxwingyoke::fleet
