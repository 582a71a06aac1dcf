#include <dispatch/UpstreamHealth.h>

#include <algorithm>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

// The moving share spans about the last 10 requests.
constexpr double kSampleWeight = 0.1;
// Services fail one idempotent request in seven in normal operation. A share
// above this threshold points to the upstream rather than to the requests.
constexpr double kEjectShare = 0.34;
constexpr int kMinSamples = 5;
// About the time that a crashed upstream takes to restart.
constexpr Millis kFirstEjection(500);
constexpr Millis kLongestEjection(4000);
constexpr int kMaxDoublings = 3;
// Sound upstreams are silent for up to about two seconds.
constexpr Millis kMaxSilence(2500);
constexpr Millis kSilenceAvoidTime(300);

} // namespace

void
UpstreamHealth::RecordOutcome(Outcome aOutcome, Millis aNow)
{
  if (aOutcome == Outcome::Refused) {
    return;
  }
  bool failed = aOutcome != Outcome::Served;
  ++samples_;
  failedShare_ += kSampleWeight * ((failed ? 1.0 : 0.0) - failedShare_);
  unreachableInARow_ =
    aOutcome == Outcome::Unreachable ? unreachableInARow_ + 1 : 0;
  if (unreachableInARow_ > 0 ||
      (failed && samples_ >= kMinSamples && failedShare_ > kEjectShare)) {
    Eject(aNow);
  } else if (!failed && failedShare_ < kSampleWeight) {
    ejections_ = 0;
  }
}

void
UpstreamHealth::Eject(Millis aNow)
{
  if (aNow < usableFrom_) {
    return;
  }
  auto factor = std::int64_t{ 1 } << std::min(ejections_, kMaxDoublings);
  ++ejections_;
  AvoidUntil(aNow + std::min(kFirstEjection * factor, kLongestEjection));
  // Capped at the threshold, so that a few successful answers after the
  // ejection keep the upstream in use.
  failedShare_ = std::min(failedShare_, kEjectShare);
}

void
UpstreamHealth::AvoidUntil(Millis aTime)
{
  usableFrom_ = std::max(usableFrom_, aTime);
}

void
UpstreamHealth::RecordActivity(Millis aNow)
{
  activeAt_ = aNow;
  silentSince_.reset();
  silentUntil_ = {};
}

void
UpstreamHealth::RecordSilence(Millis aSince, Millis aNow)
{
  if (HasBeenActiveSince(aSince)) {
    return;
  }
  bool isNew = aNow - silenceRecordedAt_ > kMaxSilence;
  silenceRecordedAt_ = aNow;
  silentSince_ = isNew ? aSince : silentSince_.value_or(aSince);
  silentUntil_ = aNow + kSilenceAvoidTime;
  if (aNow - *silentSince_ >= kMaxSilence) {
    silentSince_ = aNow;
    RecordOutcome(Outcome::Unreachable, aNow);
  }
}

// Requests that fall silent together have received their last events at
// slightly different times.
void
UpstreamHealth::RecordHang(Millis aSince, Millis aSilenceTimeout, Millis aNow)
{
  if (HasBeenActiveSince(aSince + aSilenceTimeout)) {
    RecordOutcome(Outcome::Failed, aNow);
  }
}

bool
UpstreamHealth::IsUsable(Millis aNow) const
{
  return aNow >= std::max(usableFrom_, silentUntil_);
}

} // namespace waxwingyoke::dispatch
