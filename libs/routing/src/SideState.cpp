#include <routing/SideState.h>

#include <algorithm>

namespace waxwingyoke::routing {

namespace {

constexpr std::int64_t kFirstEjectionMillis = 500;
constexpr std::int64_t kMaxDoublings = 5;
constexpr std::int64_t kRampUpMillis = 3000;
// A side needs some requests after an ejection for its health to be observed.
constexpr double kMinTrafficShare = 0.1;

} // namespace

void
SideState::SetReported(std::uint32_t aRunning)
{
  reported_ = aRunning;
  inFlightAtReport_ = inFlight_.load();
}

std::int64_t
SideState::GetLoad() const
{
  auto inFlight = inFlight_.load();
  return std::max(inFlight, reported_ + inFlight - inFlightAtReport_);
}

void
SideState::OnSuccess(utils::Millis aNow)
{
  if (failures_ > 0 && !IsEjected(aNow)) {
    --failures_;
  }
}

void
SideState::OnFailure(utils::Millis aNow)
{
  // Requests that fail at the same time count as one failure of the side.
  if (IsEjected(aNow)) {
    return;
  }
  auto doublings = std::min(failures_.fetch_add(1), kMaxDoublings);
  ejectedUntil_ = aNow.value + (kFirstEjectionMillis << doublings);
  readmittedAt_ = ejectedUntil_.load();
}

bool
SideState::IsEjected(utils::Millis aNow) const
{
  return aNow.value < ejectedUntil_;
}

double
SideState::GetTrafficShare(utils::Millis aNow) const
{
  if (readmittedAt_ == 0) {
    return 1;
  }
  auto since = static_cast<double>(aNow.value - readmittedAt_);
  return std::clamp(since / kRampUpMillis, kMinTrafficShare, 1.0);
}

} // namespace waxwingyoke::routing
