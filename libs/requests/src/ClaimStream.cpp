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

// Sixteen streams then make 320 appends a second at most, of the several
// hundred that the log takes.
constexpr Millis kAppendInterval(50);
constexpr Millis kReadWait(0);
// A log that does not answer in this time counts as down.
constexpr Millis kLogPatience(2000);
constexpr std::uint32_t kPageRecords = 500;
// Kept longer than any key may be used, so that no clock's error matters.
constexpr Millis kRowTime = kMaxKeyAge + Millis(10 * 60 * 1000);

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
  auto pending = std::make_shared<Pending>();
  pending->claim = aClaim;
  pending->giveUpAt = std::min(aDeadline, clock_.Now() + kLogPatience);
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
  auto since = clock_.Now() - lastTry_;
  if (tries_ > 0 && since < kAppendInterval) {
    net::Runtime::Sleep(kAppendInterval - since);
  }
  ++tries_;
  lastTry_ = clock_.Now();
  PendingList batch;
  {
    Lock lock(mutex_);
    batch.swap(pending_);
  }
  CommitBatch(batch);
  Lock lock(mutex_);
  for (const auto& one : batch) {
    one->done = one->settled;
    if (!one->done) {
      pending_.push_back(one);
    }
  }
}

void
ClaimStream::CommitBatch(const PendingList& aBatch)
{
  utils::Error reason;
  fold_.Expire(utils::GetWallTime() - kRowTime);
  if (!CatchUp(reason)) {
    FailOverdue(aBatch, reason);
    return;
  }
  auto fresh = SettleKnown(aBatch);
  if (fresh.empty()) {
    return;
  }
  if (!Append(fresh, reason) || !CatchUp(reason)) {
    FailOverdue(fresh, reason);
    return;
  }
  std::ranges::for_each(fresh, [this](const auto& aOne) { Settle(*aOne); });
}

// A repeat of what stands needs no append, and a key that the log no longer
// covers must not get one.
ClaimStream::PendingList
ClaimStream::SettleKnown(const PendingList& aBatch)
{
  PendingList fresh;
  for (const auto& one : aBatch) {
    auto issued = ParseIssued(one->claim.key()).value_or(Millis(0));
    auto reply = fold_.Judge(one->claim);
    bool replaces = reply.verdict() == schema::REPEAT &&
                    one->claim.replaces_attempt() == reply.claim().attempt();
    if (reply.verdict() == schema::UNCLAIMED && !fold_.Covers(issued)) {
      one->error.Set(ErrorKind::KeyExpired,
                     "the log no longer covers the key's time of issue");
      one->settled = true;
    } else if (reply.verdict() == schema::UNCLAIMED || replaces) {
      fresh.push_back(one);
    } else {
      one->reply = reply;
      one->settled = true;
    }
  }
  return fresh;
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
  for (const auto& one : aBatch) {
    *batch->add_claims() = one->claim;
  }
  sAppends.Add();
  // A lost answer needs no second append: the record either shows when the
  // stream is read back or it does not stand.
  auto offset = log_.Append(stream_, record.SerializeAsString(), aReason);
  return offset || aReason.kind == ErrorKind::OutcomeUnknown;
}

bool
ClaimStream::CatchUp(utils::Error& aReason)
{
  while (true) {
    auto from = fold_.GetNextOffset();
    auto page = log_.ReadKept(stream_, from, kPageRecords, kReadWait, aReason);
    if (!page) {
      aReason.kind = ErrorKind::LogUnavailable;
      return false;
    }
    if (page->first_offset() > from) {
      fold_.RestartAt(page->first_offset(), utils::GetWallTime());
    }
    for (const auto& stored : page->records()) {
      schema::LogRecord record;
      // What can't be read counts as an empty record, for all alike.
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
ClaimStream::Settle(Pending& aPending)
{
  aPending.settled = true;
  auto reply = fold_.Judge(aPending.claim);
  if (reply.verdict() == schema::UNCLAIMED) {
    aPending.error.Set(ErrorKind::LogUnavailable,
                       "the claim does not stand in the log");
    return;
  }
  aPending.reply = reply;
}

// A claim may stand although its batch failed: whoever waits for it asks
// again and then finds it, and whoever gives up runs nothing.
void
ClaimStream::FailOverdue(const PendingList& aBatch, const utils::Error& aError)
{
  for (const auto& one : aBatch) {
    if (clock_.Now() >= one->giveUpAt) {
      one->error = aError;
      one->settled = true;
    }
  }
}

} // namespace waxwingyoke::requests
