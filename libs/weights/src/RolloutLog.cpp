#include "RolloutLog.h"

#include <algorithm>
#include <mutex>

#include <telemetry/Metrics.h>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

constexpr std::uint32_t kPageRecords = 1000;
constexpr utils::Millis kNoWait(0);
constexpr int kMaxAppendAttempts = 3;

} // namespace

RolloutLog::RolloutLog(platform::LogClient& aLog)
  : log_(aLog)
{
}

bool
RolloutLog::Sync(utils::Error& aReason)
{
  std::scoped_lock lock(mutex_);
  bool more = true;
  while (more) {
    if (!ReadPage(more, aReason)) {
      return false;
    }
  }
  return true;
}

// Records that the log no longer retains concern finished publications and
// released permits, so reading continues at the first retained record.
bool
RolloutLog::ReadPage(bool& aMore, utils::Error& aReason)
{
  auto page = log_.ReadRetained(
    platform::kRolloutStream, nextOffset_, kPageRecords, kNoWait, aReason);
  if (!page) {
    return false;
  }
  auto before = nextOffset_;
  nextOffset_ = std::max(nextOffset_, page->first_offset());
  for (const auto& record : page->records()) {
    Fold(record);
    nextOffset_ = record.offset() + 1;
  }
  aMore = nextOffset_ > before && nextOffset_ < page->next_offset();
  return true;
}

bool
RolloutLog::Append(const schema::LogRecord& aRecord, utils::Error& aReason)
{
  auto payload = aRecord.SerializeAsString();
  for (int attemptsLeft = kMaxAppendAttempts; attemptsLeft > 0;
       --attemptsLeft) {
    utils::Error reason;
    auto offset = log_.Append(platform::kRolloutStream, payload, reason);
    if (offset) {
      return Sync(aReason);
    }
    aReason = reason;
    if (reason.kind == ErrorKind::LogUnavailable) {
      return false;
    }
  }
  return false;
}

void
RolloutLog::Fold(const schema::StoredRecord& aRecord)
{
  static auto& sSkipped =
    telemetry::Metrics::Get().GetCounter("rollout_records_skipped_total");
  schema::LogRecord record;
  bool read = record.ParseFromString(aRecord.payload());
  if (read && record.has_origin_ticket()) {
    tickets_.Apply(record.id(), record.origin_ticket());
  } else if (read && record.has_permit_request()) {
    permits_.Apply(aRecord.offset(), record.permit_request());
  } else if (read && record.has_permit_release()) {
    permits_.Apply(record.permit_release());
  } else {
    sSkipped.Add();
  }
}

} // namespace waxwingyoke::weights
