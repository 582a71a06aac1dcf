#include <algorithm>
#include <array>

#include "Exchange.h"

// Responses made by the entry itself, and the log line at the end of a request.

namespace waxwingyoke::fleet {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimedOut = 504;
// Retry-After while no configuration has been received.
constexpr Millis kRetryAfterWithoutConfig(500);
// The Retry-After while no upstream serves the request is at least the caller's
// remaining time divided by this.
constexpr std::int64_t kMaxRetryAfterDivisor = 3;

} // namespace

// Lets this and other entries recognise the caller's retry.
void
Exchange::RecordRefusal()
{
  dispatch::Refusal refusal{ digest_, arrivedAt_ - elapsedBefore_ };
  services_.GetRefusals().RecordRefusal(refusal, services_.Now());
  services_.GetRefusals().Announce(refusal);
  services_.MarkUseChanged();
}

void
Exchange::Refuse(ErrorKind aKind, std::string_view aText)
{
  if (streaming_) {
    return;
  }
  // A refusal states that the request has not run. After a send with unknown
  // outcome that isn't certain, so the request fails instead.
  if (mayHaveRun_) {
    Fail(aText);
    return;
  }
  auto retryAfter = kRetryAfterWithoutConfig;
  if (aKind == ErrorKind::Quarantined) {
    // A quarantine outlasts its caller; places are for others.
    retryAfter = std::max(retryAfter, GetTimeLeft() / kMaxRetryAfterDivisor);
    RefuseAfter(aKind, aText, retryAfter);
    return;
  }
  auto opening = service_ != nullptr ? FindOpening() : std::nullopt;
  if (opening) {
    RecordRefusal();
    retryAfter =
      services_.GetService(service_->name)
        .retryPlanners[query_.regions]
        .PlanRetryAt(opening->at, opening->interval, services_.Now());
  } else if (service_ != nullptr) {
    RecordRefusal();
    retryAfter = services_.GetService(service_->name)
                   .retryPlanners[query_.regions]
                   .PlanRetry(services_.Now());
    // If no upstream serves the request, no slot becomes free soon: use the
    // longer delay. While the registry is empty, the directory is still being
    // read.
    const auto& upstreams = services_.GetUpstreams();
    if (!upstreams.GetAll().empty() &&
        !upstreams.HasServingUpstream(query_, services_.Now())) {
      retryAfter = std::max(retryAfter, GetTimeLeft() / kMaxRetryAfterDivisor);
    }
  }
  RefuseAfter(aKind, aText, retryAfter);
}

// Only another configuration helps, so no slot is reserved for a retry.
void
Exchange::RefuseClosed()
{
  services_.GetMetrics().regionRefusals.Add();
  RefuseAfter(
    ErrorKind::NoUpstream,
    "no region may serve this request",
    std::max(kRetryAfterWithoutConfig, GetTimeLeft() / kMaxRetryAfterDivisor));
}

void
Exchange::RefuseAfter(ErrorKind aKind,
                      std::string_view aText,
                      Millis aRetryAfter)
{
  end_ = End::Refused;
  reason_ = std::string(utils::GetName(aKind)) + ": " + std::string(aText);
  Answer(kUnavailable, aText, aRetryAfter);
}

void
Exchange::Deny(int aStatus, std::string_view aText)
{
  end_ = End::Denied;
  reason_ = aText;
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
  reason_ = aText;
  bool timedOut = GetTimeLeft() < kMinTimeLeft;
  Answer(timedOut ? kTimedOut : kBadGateway, aText, std::nullopt);
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

std::string
Exchange::GetFramingName() const
{
  return framing_ ? std::string(net::GetName(*framing_)) : "";
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
    { End::CallerDisconnected, "caller gone" },
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
      { "digest", FormatDigest(digest_) },
      { "route", route_ != nullptr ? route_->name : "" },
      { "organisation", organisation_ != nullptr ? organisation_->name : "" },
      { "config", text(config_ ? config_->version : 0) },
      { "config_age_ms", text(services_.GetConfig().GetAge().value) },
      { "regions", dispatch::JoinRegions(query_.regions) },
      { "upstreams", upstreams_ },
      { "weights", text(leaseVersion_) },
      { "start_timeout_ms",
        startTimeout_ ? text(startTimeout_->value) : std::string() },
      { "predicted_ms", text(static_cast<std::int64_t>(predictedMs_)) },
      { "first_ms", text(first.value) },
      { "pause_ms", text(longestPause_.value) },
      { "took_ms", text(took.value) },
      { "time_limit_ms", text(timeLimit_.value) },
      { "caller_limit_ms",
        caller_.callerTimeout ? text(caller_.callerTimeout->value)
                              : std::string() },
      { "elapsed_before_ms", text(elapsedBefore_.value) },
      { "sends", text(sends_) },
      { "status", text(status_) },
      { "framing", GetFramingName() },
      { "events", text(relay_.GetEventCount()) },
      { "why", reason_ } });
}

} // namespace waxwingyoke::fleet
