#include <mutex>

#include <telemetry/Metrics.h>

#include "NodeImpl.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

constexpr std::uint32_t kPageRecords = 500;
constexpr Millis kLogWait(3000);
constexpr Millis kPauseAfterError(600);
constexpr Millis kNonRelayPause(500);

} // namespace

bool
Node::Impl::ReadLog(Millis aWait)
{
  std::uint64_t from = 0;
  {
    Lock lock(mutex);
    from = store.GetReadOffset();
  }
  utils::Error reason;
  auto page = log.ReadRetained(
    platform::kConfigStream, from, kPageRecords, aWait, reason);
  readsLog = page.has_value();
  if (!page) {
    static auto& sFailures =
      telemetry::Metrics::Get().GetCounter("config_log_read_failures_total");
    sFailures.Add();
    logger.Report(reason);
    return false;
  }
  {
    Lock lock(mutex);
    auto previousNextOffset = store.GetNextOffset();
    store.ApplyPage(*page, clock.Now());
    isDirty = isDirty || store.GetNextOffset() != previousNextOffset;
  }
  changed.notify_all();
  return true;
}

void
Node::Impl::RunLogReader()
{
  for (;;) {
    if (!GetTreePosition().relay) {
      net::Runtime::Sleep(kNonRelayPause);
      continue;
    }
    bool done = ReadLog(kLogWait);
    net::Runtime::Sleep(done ? Millis(settings.control().log_interval_ms())
                             : Jitter(kPauseAfterError));
  }
}

} // namespace waxwingyoke::membership
