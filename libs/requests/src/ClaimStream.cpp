#include "ClaimStream.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include <net/Runtime.h>
#include <telemetry/Metrics.h>
#include <utils/Hash.h>

#include "CallerRequest.h"

namespace waxwingyoke::requests {

namespace {

using utils::ErrorKind;
using utils::Millis;

// Limits 16 streams to 320 appends per second in total; the log sustains
// several hundred.
constexpr Millis kAppendInterval(50);
constexpr Millis kReadWait(0);
// A log that does not answer within this time is treated as unavailable.
constexpr Millis kLogTimeout(2000);
constexpr std::uint32_t kPageRecords = 500;
// Longer than any key is accepted, so that clock errors have no effect.
constexpr Millis kRowRetention = kMaxKeyAge + Millis(10 * 60 * 1000);

} // namespace

ClaimStream::ClaimStream(platform::LogClient& aLog, std::string aStream)
  : log_(aLog)
  , stream_(std::move(aStream))
{
}

std::optional<schema::ClaimReply>
ClaimStream::Claim(const schema::Claim& aClaim,
                   Millis aDeadline,
                   utils::Error& aReason)
{
  auto pending = std::make_shared<PendingClaim>();
  pending->claim = aClaim;
  pending->giveUpAt = std::min(aDeadline, clock_.Now() + kLogTimeout);
  Lock lock(mutex_);
  pending_.push_back(pending);
  while (!pending->done) {
    if (committing_) {
      changed_.wait(lock);
      continue;
    }
    committing_ = true;
    lock.unlock();
    Commit();
    lock.lock();
    committing_ = false;
    changed_.notify_all();
  }
  aReason = pending->error;
  return pending->reply;
}

void
ClaimStream::Commit()
{
  auto sinceLastCommit = clock_.Now() - lastCommitAt_;
  if (commits_ > 0 && sinceLastCommit < kAppendInterval) {
    net::Runtime::Sleep(kAppendInterval - sinceLastCommit);
  }
  ++commits_;
  lastCommitAt_ = clock_.Now();
  PendingList batch;
  {
    Lock lock(mutex_);
    batch.swap(pending_);
  }
  CommitBatch(batch);
  Lock lock(mutex_);
  for (const auto& item : batch) {
    item->done = item->settled;
    if (!item->done) {
      pending_.push_back(item);
    }
  }
}

void
ClaimStream::CommitBatch(const PendingList& aBatch)
{
  utils::Error reason;
  fold_.Expire(utils::GetWallTime() - kRowRetention);
  if (!CatchUp(reason)) {
    FailExpired(aBatch, reason);
    return;
  }
  auto toAppend = SettleWithoutAppend(aBatch);
  if (toAppend.empty()) {
    return;
  }
  if (!Append(toAppend, reason) || !CatchUp(reason)) {
    FailExpired(toAppend, reason);
    return;
  }
  std::ranges::for_each(toAppend,
                        [this](const auto& aItem) { Settle(*aItem); });
}

// A claim whose key is already claimed needs no append, unless it replaces the
// attempt in force. A key that the log no longer covers must not be appended,
// because an earlier claim of it may have been trimmed.
ClaimStream::PendingList
ClaimStream::SettleWithoutAppend(const PendingList& aBatch)
{
  PendingList toAppend;
  for (const auto& item : aBatch) {
    auto issued = ParseIssueTime(item->claim.key()).value_or(Millis(0));
    auto reply = fold_.Evaluate(item->claim);
    bool replaces = reply.verdict() == schema::REPEAT &&
                    item->claim.replaces_attempt() == reply.claim().attempt();
    if (reply.verdict() == schema::UNCLAIMED && !fold_.Covers(issued)) {
      item->error.Set(ErrorKind::KeyExpired,
                      "the log no longer covers the key's issue time");
      item->settled = true;
    } else if (reply.verdict() == schema::UNCLAIMED || replaces) {
      toAppend.push_back(item);
    } else {
      item->reply = reply;
      item->settled = true;
    }
  }
  return toAppend;
}

bool
ClaimStream::Append(const PendingList& aBatch, utils::Error& aReason)
{
  static auto& sAppends =
    telemetry::Metrics::Get().GetCounter("entry_claim_appends_total");
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto* batch = record.mutable_claim_batch();
  batch->set_appended_ms(utils::GetWallTime().value);
  for (const auto& item : aBatch) {
    *batch->add_claims() = item->claim;
  }
  sAppends.Add();
  // After a lost reply the append is not repeated: reading the stream back
  // shows whether the record was stored.
  auto offset = log_.Append(stream_, record.SerializeAsString(), aReason);
  return offset || aReason.kind == ErrorKind::OutcomeUnknown;
}

bool
ClaimStream::CatchUp(utils::Error& aReason)
{
  while (true) {
    auto nextOffset = fold_.GetNextOffset();
    auto page =
      log_.ReadRetained(stream_, nextOffset, kPageRecords, kReadWait, aReason);
    if (!page) {
      aReason.kind = ErrorKind::LogUnavailable;
      return false;
    }
    if (page->first_offset() > nextOffset) {
      fold_.RestartAt(page->first_offset(), utils::GetWallTime());
    }
    for (const auto& stored : page->records()) {
      schema::LogRecord record;
      // A record that can't be parsed counts as empty, so that the state is the
      // same on every entry.
      if (!record.ParseFromString(stored.payload())) {
        record.Clear();
      }
      fold_.Apply(stored.offset(), record);
    }
    if (page->records().empty() ||
        fold_.GetNextOffset() >= page->next_offset()) {
      return true;
    }
  }
}

void
ClaimStream::Settle(PendingClaim& aPending)
{
  aPending.settled = true;
  auto reply = fold_.Evaluate(aPending.claim);
  if (reply.verdict() == schema::UNCLAIMED) {
    aPending.error.Set(ErrorKind::LogUnavailable,
                       "the claim was not found in the log");
    return;
  }
  aPending.reply = reply;
}

// The log may have stored a claim although its batch failed. A claim that stays
// pending is found at the next read; a failed one means that the request is not
// run.
void
ClaimStream::FailExpired(const PendingList& aBatch, const utils::Error& aError)
{
  for (const auto& item : aBatch) {
    if (clock_.Now() >= item->giveUpAt) {
      item->error = aError;
      item->settled = true;
    }
  }
}

} // namespace waxwingyoke::requests
