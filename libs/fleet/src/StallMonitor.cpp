#include "StallMonitor.h"

#include <string>
#include <utility>

#include <telemetry/Metrics.h>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// A busy process is late by less than this.
constexpr Millis kMinStall(1000);

} // namespace

StallMonitor::StallMonitor(Millis aInterval, utils::Clock aClock)
  : interval_(aInterval)
  , clock_(std::move(aClock))
  , checkedAt_(clock_.Now())
{
}

std::optional<Millis>
StallMonitor::Check()
{
  auto now = clock_.Now();
  auto late = now - std::exchange(checkedAt_, now) - interval_;
  if (late < kMinStall) {
    return std::nullopt;
  }
  telemetry::Metrics::Get().GetCounter("fleet_stalls_total").Add();
  logger_.Warn("the process did not run",
               { { "for_ms", std::to_string(late.value) } });
  return late;
}

} // namespace waxwingyoke::fleet
