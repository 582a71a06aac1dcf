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

// A request that can't be placed at once waits for this share of its
// objective: at a place that frees up later its first event would be late.
constexpr double kWaitShare = 0.4;
// One that was told to return waits longer for its place. More than that keeps
// callers from an answer for work that is then refused all the same.
constexpr double kReturnedWaitShare = 0.6;
// A returning caller's answer is late already. It gets a place where a new one
// would, so that it never waits in an upstream's queue before those that can
// still be in time; with little time left, within this share of it.
constexpr double kLateShare = 0.35;

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
  query_.entryHash = utils::StableHash(services_.GetSettings().vm);
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
  query_.biasMs = services_.GetService(query_.service).bias.GetMs(now);
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
  placedAt_ = now;
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
  if (!HasReturned() &&
      !services_.GetBook().HasProspect(query_, services_.Now())) {
    Refuse(ErrorKind::NoUpstream, "no upstream serves this now");
    return false;
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

} // namespace waxwingyoke::fleet
