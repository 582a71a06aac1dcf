#include <algorithm>
#include <array>

#include "Exchange.h"

// Answers of our own, and the line that tells how a request ended.

namespace waxwingyoke::fleet {

namespace {

using utils::ErrorKind;
using utils::Millis;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimedOut = 504;
// Before a configuration is known there is nothing to tell but "soon".
constexpr Millis kRetryUnknown(500);
// Of the time that a caller has left: the longest that it waits when told to.
constexpr std::int64_t kLatestReturnDivisor = 3;

} // namespace

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
    // When none serves, nothing frees up soon: as late as it will come. A book
    // without any is one that is still being read.
    const auto& book = services_.GetBook();
    if (!book.GetAll().empty() && !book.HasProspect(query_, services_.Now())) {
      retryAfter = std::max(retryAfter, GetTimeLeft() / kLatestReturnDivisor);
    }
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
      { "pause_ms", text(longestPause_.value) },
      { "took_ms", text(took.value) },
      { "elapsed_before_ms", text(elapsedBefore_.value) },
      { "sends", text(sends_) },
      { "status", text(status_) },
      { "why", why_ } });
}

} // namespace waxwingyoke::fleet
