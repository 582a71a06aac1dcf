#include "QuarantineLog.h"

#include <algorithm>
#include <utility>

#include <schema/Json.h>
#include <schema/fleet.pb.h>
#include <utils/Backoff.h>
#include <utils/Hash.h>

#include "EntryServices.h"

namespace waxwingyoke::fleet {

namespace {

using platform::Topic;
using utils::Millis;

constexpr Millis kPauseAfterFailure(200);
constexpr Millis kLongestPause(4000);
// After a restore all entries write again, spread over this time.
constexpr Millis kRestoreSpread(2000);

} // namespace

QuarantineLog::QuarantineLog(net::Runtime& aRuntime,
                             platform::KeyedLog& aLog,
                             dispatch::PartQuarantine& aQuarantine,
                             std::string aVm)
  : runtime_(aRuntime)
  , log_(aLog)
  , quarantine_(aQuarantine)
  , vm_(std::move(aVm))
{
}

void
QuarantineLog::Start()
{
  runtime_.Spawn([this] { Read(); });
}

void
QuarantineLog::Read()
{
  utils::Backoff backoff(kPauseAfterFailure, kLongestPause);
  utils::Error reason;
  auto page = log_.ReadNewest(Topic::Quarantine, reason);
  while (!page) {
    net::Runtime::Sleep(backoff.NextDelay());
    page = log_.ReadNewest(Topic::Quarantine, reason);
  }
  std::ranges::for_each(page->records,
                        [this](const auto& aRecord) { Apply(aRecord); });
}

// The wall clock of the writer or of this VM may have been set meanwhile, so
// what is left is at most the whole quarantine.
void
QuarantineLog::Apply(const platform::KeyedRecord& aRecord)
{
  schema::QuarantineRecord record;
  utils::Error reason;
  if (aRecord.dropped || !schema::FromJson(aRecord.value, record, reason)) {
    return;
  }
  auto duration = utils::BoundMillis(record.duration_ms());
  auto left = utils::BoundMillis(record.until_ms()) - utils::GetWallTime();
  left = std::min(left, duration);
  if (left <= Millis(0)) {
    return;
  }
  dispatch::QuarantinedPart part{ record.part(),
                                  clock_.Now() + left,
                                  duration };
  quarantine_.Apply(part);
  LogPart("quarantined by a record of the log", part);
}

void
QuarantineLog::Store(const dispatch::QuarantinedPart& aPart)
{
  pending_[aPart.part] = aPart;
  if (!std::exchange(isWriting_, true)) {
    runtime_.Spawn([this] { WritePending(); });
  }
}

void
QuarantineLog::WritePending()
{
  utils::Backoff backoff(kPauseAfterFailure, kLongestPause);
  while (!pending_.empty()) {
    auto part = pending_.begin()->second;
    if (clock_.Now() - part.until > kLongestPause) {
      pending_.erase(part.part);
      continue;
    }
    schema::QuarantineRecord record;
    record.set_part(part.part);
    auto until = utils::GetWallTime() + (part.until - clock_.Now());
    record.set_until_ms(static_cast<std::uint64_t>(until.value));
    record.set_duration_ms(static_cast<std::uint64_t>(part.duration.value));
    utils::Error reason;
    bool written = log_.Append(Topic::Quarantine,
                               FormatDigest(part.part),
                               schema::ToJson(record),
                               reason);
    auto row = pending_.find(part.part);
    bool isSame = row != pending_.end() && row->second.until == part.until;
    if (written && isSame) {
      pending_.erase(row);
      stored_[part.part] = part;
      storedEpoch_ = std::max(storedEpoch_, log_.GetEpoch());
      backoff.Reset();
    } else if (!written) {
      logger_.Report(reason, { { "step", "store a quarantine" } });
      net::Runtime::Sleep(backoff.NextDelay());
    }
  }
  isWriting_ = false;
}

void
QuarantineLog::StoreAgainIfRestored()
{
  if (stored_.empty() || log_.GetEpoch() <= storedEpoch_) {
    return;
  }
  storedEpoch_ = log_.GetEpoch();
  auto delay = utils::StableHash(vm_, storedEpoch_) %
               static_cast<std::uint64_t>(kRestoreSpread.value);
  runtime_.Spawn([this, delay] {
    net::Runtime::Sleep(utils::BoundMillis(delay));
    for (const auto& [hash, part] : std::exchange(stored_, {})) {
      Store(part);
    }
  });
}

void
QuarantineLog::LogPart(std::string_view aText,
                       const dispatch::QuarantinedPart& aPart) const
{
  logger_.Info(
    aText,
    { { "part", FormatDigest(aPart.part) },
      { "left_ms", std::to_string((aPart.until - clock_.Now()).value) },
      { "duration_ms", std::to_string(aPart.duration.value) } });
}

} // namespace waxwingyoke::fleet
