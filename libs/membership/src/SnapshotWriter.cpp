#include <mutex>

#include <utils/Hash.h>

#include "NodeImpl.h"
#include "SnapshotSchedule.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

constexpr Millis kCheckInterval(1000);
// With a state older than this, a snapshot may already be in the log that was
// not read yet.
constexpr Millis kFreshAge(5000);

} // namespace

void
Node::Impl::RunSnapshotWriter()
{
  SnapshotSchedule schedule(Millis(settings.control().snapshot_interval_ms()));
  for (;;) {
    net::Runtime::Sleep(kCheckInterval);
    auto position = GetTreePosition();
    if (!position.relay) {
      continue;
    }
    SnapshotStatus snapshotStatus;
    snapshotStatus.rank = position.relayRank;
    bool isFresh = false;
    {
      Lock lock(mutex);
      auto age = store.GetAge(clock.Now());
      isFresh = age && *age <= kFreshAge;
      snapshotStatus.nextOffset = store.GetNextOffset();
      snapshotStatus.snapshotOffset = store.GetReplay().GetSnapshotOffset();
      snapshotStatus.firstOffset = store.GetReplay().GetFirstOffset();
    }
    if (isFresh && schedule.IsDue(snapshotStatus, clock.Now())) {
      WriteSnapshot();
    }
  }
}

void
Node::Impl::WriteSnapshot()
{
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  {
    Lock lock(mutex);
    *record.mutable_snapshot() = store.GetReplay().GetFold().MakeSnapshot();
  }
  utils::Error reason;
  auto offset =
    log.Append(platform::kConfigStream, record.SerializeAsString(), reason);
  if (!offset) {
    logger.Report(reason);
    return;
  }
  logger.Info(
    "wrote a snapshot",
    { { "next_offset", std::to_string(record.snapshot().next_offset()) } });
}

} // namespace waxwingyoke::membership
