#include <mutex>

#include <utils/Hash.h>

#include "NodeImpl.h"
#include "SnapshotNeed.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

constexpr Millis kLookPause(1000);
// An older state may lack a snapshot that stands in the log already.
constexpr Millis kFreshAge(5000);

} // namespace

void
Node::Impl::RunSnapshotWriter()
{
  SnapshotNeed need(Millis(settings.control().snapshot_interval_ms()));
  for (;;) {
    net::Runtime::Sleep(kLookPause);
    auto place = GetPlace();
    if (!place.relay) {
      continue;
    }
    SnapshotSight sight;
    sight.rank = place.relayRank;
    bool isFresh = false;
    {
      Lock lock(mutex);
      auto age = store.GetAge(clock.Now());
      isFresh = age && *age <= kFreshAge;
      sight.nextOffset = store.GetNextOffset();
      sight.snapshotOffset = store.GetReplay().GetSnapshotOffset();
      sight.firstOffset = store.GetReplay().GetFirstOffset();
    }
    if (isFresh && need.IsDue(sight, clock.Now())) {
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
