#include "DirectoryFollower.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace waxwingyoke::fleet {

namespace {

using platform::Topic;
using utils::Millis;

// A draining upstream must get no more requests two seconds after it announced
// its draining. The entry with rank 0 waits this long in a read for changes and
// sends the result to all others, also if there are none.
constexpr Millis kReadWait(700);
// Entries with other ranks read the directory if they have received no update
// for this long. They start one after the other: one read and its notice fit
// into kRankDelay.
constexpr Millis kPeerUpdateTimeout(900);
constexpr Millis kRankDelay(50);
constexpr Millis kMaxRankDelay(500);
// Covers the entry with the last rank and some failed reads. If no entry has
// read for longer, and reads of this one failed, the log was unavailable to
// all. Entries don't expire within a shorter time.
constexpr Millis kOutageThreshold(2500);
// Time from the last read for which an upstream that is dropped after a shorter
// failure stays. It leaves room for one read without an answer within the two
// seconds in which a removal must take effect.
constexpr Millis kMaxHoldAfterFailure(1200);
// Interval between two checks for upstreams to remove.
constexpr Millis kExpiryPollInterval(150);
// Delay after a read, so that changes in a row are read together.
constexpr Millis kChangeBatchDelay(20);
// A lost answer must not use up a draining upstream's two seconds. Doubled with
// each failure in a row, as failed reads are charged like others.
constexpr Millis kInitialBackoff(40);
constexpr Millis kMaxBackoff(400);
// Upper bound of an update that fits into a datagram; more changes are split
// over several updates.
constexpr std::size_t kMaxUpdateBytes = 4096;
// Running upstreams register again within about two seconds of the log's
// recovery.
constexpr Millis kReregistrationGrace(2500);
// Time to connect and to receive an answer, beyond the wait for changes.
constexpr Millis kMaxReadTime(1300);
// A busy process is late by less than this.
constexpr Millis kMinStall(1000);
// Time for which removed upstreams are remembered. A copy from which the log is
// restored is at most some seconds old.
constexpr Millis kRemovalMemory(60000);

} // namespace

DirectoryFollower::DirectoryFollower(platform::KeyedLog& aLog,
                                     const platform::FleetCodecs& aCodecs,
                                     dispatch::UpstreamRegistry& aRegistry,
                                     utils::Clock aClock)
  : log_(aLog)
  , codecs_(aCodecs)
  , registry_(aRegistry)
  , clock_(std::move(aClock))
  , backoff_(kInitialBackoff, kMaxBackoff)
{
}

void
DirectoryFollower::Start(net::Runtime& aRuntime,
                         std::function<void()> aOnChange)
{
  onChange_ = std::move(aOnChange);
  aRuntime.Spawn([this] { Loop(); });
}

void
DirectoryFollower::Loop()
{
  while (true) {
    net::Runtime::Sleep(Step());
  }
}

Millis
DirectoryFollower::Step()
{
  if (stepDueAt_) {
    RecordStall(*stepDueAt_);
  }
  auto delay = RunDue();
  stepDueAt_ = clock_.Now() + delay;
  return delay;
}

Millis
DirectoryFollower::RunDue()
{
  RemoveExpired();
  auto wait = GetNextReadTime() - clock_.Now();
  if (wait > Millis(0)) {
    return std::min(wait, kExpiryPollInterval);
  }
  if (!Poll(readRank_ == 0 ? kReadWait : Millis(0))) {
    return backoff_.NextDelay();
  }
  backoff_.Reset();
  return kChangeBatchDelay;
}

// The entry with rank 0, and each entry that missed an update, reads at once.
Millis
DirectoryFollower::GetNextReadTime() const
{
  if (!confirmedAt_ || missedUpdate_ || readRank_ == 0) {
    return Millis(0);
  }
  auto rankDelay =
    std::min(kRankDelay * static_cast<std::int64_t>(readRank_), kMaxRankDelay);
  return *confirmedAt_ + kPeerUpdateTimeout + rankDelay;
}

bool
DirectoryFollower::Poll(Millis aWait)
{
  auto untilExpiry = GetNextExpiry() - clock_.Now();
  auto wait = std::clamp(untilExpiry, Millis(0), aWait);
  auto sentAt = clock_.Now();
  bool answered = started_ ? ReadChanges(wait) : ReadAll();
  if (answered) {
    confirmedAt_ = clock_.Now();
    missedUpdate_ = false;
  } else {
    RecordStall(sentAt + wait + kMaxReadTime);
  }
  RemoveExpired();
  if (onChange_) {
    onChange_();
  }
  return answered;
}

void
DirectoryFollower::RecordLogResult(bool aAvailable)
{
  if (aAvailable) {
    if (readFailed_) {
      HoldDropped();
    }
    RecordRead();
  } else {
    readFailed_ = true;
  }
  if (std::exchange(logAvailable_, aAvailable) == aAvailable) {
    return;
  }
  if (aAvailable) {
    logger_.Info("the directory answers again");
  } else {
    logger_.Warn("the directory does not answer");
  }
}

// Called when the log answers this entry after a failure and no other entry has
// read it since.
void
DirectoryFollower::HoldDropped()
{
  if (IsOutageOfAll()) {
    graceUntil_ = clock_.Now() + kReregistrationGrace;
  } else {
    failureHoldUntil_ = *logReadAt_ + kMaxHoldAfterFailure;
  }
}

Millis
DirectoryFollower::GetHoldEnd() const
{
  return std::max(graceUntil_, failureHoldUntil_);
}

// Only failed reads show an outage: a process that was suspended, or whose
// datagrams were lost, also sees no read for a long time. A read that a
// suspension made fail shows nothing for the time of the suspension.
bool
DirectoryFollower::IsOutageOfAll() const
{
  return readFailed_ &&
         (!logReadAt_ ||
          clock_.Now() - *logReadAt_ - stalledTime_ > kOutageThreshold);
}

// aDueAt is when the process would have resumed at the latest if it had run. An
// update that was received since has ended the time before it.
void
DirectoryFollower::RecordStall(Millis aDueAt)
{
  auto late = clock_.Now() - std::max(aDueAt, logReadAt_.value_or(aDueAt));
  if (late >= kMinStall) {
    stalledTime_ = stalledTime_ + late;
  }
}

void
DirectoryFollower::RecordRead()
{
  // What happened in a gap is unknown, whatever its cause.
  if (!logReadAt_ || clock_.Now() - *logReadAt_ > kOutageThreshold) {
    steadySince_ = clock_.Now();
  }
  logReadAt_ = clock_.Now();
  readFailed_ = false;
  stalledTime_ = Millis(0);
}

// Publishes the changes since aPublishFrom, if it is set.
bool
DirectoryFollower::ReadAll(std::optional<std::uint64_t> aPublishFrom)
{
  utils::Error reason;
  auto page = log_.ReadNewest(Topic::Upstreams, reason);
  RecordLogResult(page.has_value());
  if (!page) {
    return false;
  }
  if (page->epoch > epoch_) {
    BeginEpoch(page->epoch);
  }
  bool isRestored = std::exchange(isRestored_, false);
  if (isRestored) {
    std::erase_if(page->records,
                  [this](const auto& aRecord) { return WasRemoved(aRecord); });
  }
  auto changes = ApplyAll(*page);
  if (aPublishFrom && !isRestored) {
    std::ranges::sort(changes, {}, &platform::KeyedRecord::offset);
    PublishUpdate(*aPublishFrom, page->end, changes);
  }
  return true;
}

// Returns what changed, with a removal for each upstream that is not listed.
std::vector<platform::KeyedRecord>
DirectoryFollower::ApplyAll(const platform::KeyedPage& aPage)
{
  std::vector<platform::KeyedRecord> changes;
  std::set<std::string> listed;
  for (const auto& record : aPage.records) {
    listed.insert(record.key);
    if (Apply(record)) {
      changes.push_back(record);
    }
  }
  std::ranges::for_each(registry_.ListIds(), [&](const std::string& aId) {
    if (!listed.contains(aId)) {
      Remove(aId, false);
      changes.push_back({ aId, "", aPage.end, true });
    }
  });
  AdvanceEnd(aPage.end);
  started_ = true;
  return changes;
}

// If the log was restored from an older copy, upstreams that registered since
// the copy are missing in it and write their entries again, as after an outage.
void
DirectoryFollower::BeginEpoch(std::uint64_t aEpoch)
{
  isRestored_ = epoch_ != 0;
  epoch_ = aEpoch;
  started_ = false;
  appliedAhead_.clear();
  receivedOffsets_.clear();
  if (isRestored_) {
    // An entry that was suspended observes the restore late.
    bool isStated = peerSteadiness_ && peerSteadiness_->epoch == aEpoch;
    auto observedAt = isStated ? peerSteadiness_->since : clock_.Now();
    graceUntil_ = observedAt + kReregistrationGrace;
    steadySince_ = clock_.Now();
    logger_.Warn("the log was restored from an older copy",
                 { { "epoch", std::to_string(aEpoch) } });
  }
}

// Whether the record is of an incarnation that has been removed since the copy
// was made. If it runs after all, its next heartbeat adds it again.
bool
DirectoryFollower::WasRemoved(const platform::KeyedRecord& aRecord) const
{
  auto removal = removed_.find(aRecord.key);
  if (removal == removed_.end()) {
    return false;
  }
  utils::Error ignored;
  auto upstream = codecs_.parseUpstream(aRecord.key, aRecord.value, ignored);
  return upstream && upstream->startedMs == removal->second.startedMs;
}

bool
DirectoryFollower::ReadChanges(Millis aWait)
{
  utils::Error reason;
  auto from = end_;
  readFrom_ = from;
  auto page = log_.Read(Topic::Upstreams, from, aWait, reason);
  readFrom_.reset();
  bool trimmed = !page && reason.kind == utils::ErrorKind::LogTrimmed;
  RecordLogResult(page.has_value() || trimmed);
  if (trimmed) {
    // Without an update all other entries would read the directory as well.
    started_ = false;
    return ReadAll(from);
  }
  if (!page) {
    return false;
  }
  if (page->epoch > epoch_) {
    BeginEpoch(page->epoch);
    return ReadAll();
  }
  std::vector<platform::KeyedRecord> changes;
  for (const auto& record : page->records) {
    // An update of another entry may have been applied while the read waited,
    // or after a gap. Some receivers of this entry's update may have missed it.
    bool changed = record.offset >= end_ && Apply(record);
    if (changed || receivedOffsets_.contains(record.offset)) {
      changes.push_back(record);
    }
  }
  AdvanceEnd(std::max(end_, page->end));
  PublishUpdate(from, page->end, changes);
  return true;
}

// Each update covers all changes between its two offsets, so that a receiver
// that missed one detects the gap at the next. The offsets at which updates are
// split rise strictly, also where several changes have the offset aEnd: as many
// offsets are left below aEnd as changes follow.
void
DirectoryFollower::PublishUpdate(
  std::uint64_t aFrom,
  std::uint64_t aEnd,
  const std::vector<platform::KeyedRecord>& aChanges)
{
  if (!onUpdate_) {
    return;
  }
  auto steadyMs =
    static_cast<std::uint64_t>((clock_.Now() - steadySince_).value);
  schema::DirectoryNews update;
  update.set_from(aFrom);
  update.set_epoch(epoch_);
  update.set_steady_ms(steadyMs);
  std::uint64_t left = aChanges.size();
  for (const auto& record : aChanges) {
    auto size = update.ByteSizeLong() + record.key.size() + record.value.size();
    if (update.records_size() > 0 && size > kMaxUpdateBytes) {
      auto split = std::min(record.offset, aEnd - std::min(left, aEnd - aFrom));
      update.set_end(split);
      onUpdate_(update);
      update.Clear();
      update.set_from(split);
      update.set_epoch(epoch_);
      update.set_steady_ms(steadyMs);
    }
    auto& row = *update.add_records();
    row.set_key(record.key);
    row.set_value(record.value);
    row.set_offset(record.offset);
    row.set_dropped(record.dropped);
    --left;
  }
  update.set_end(aEnd);
  onUpdate_(update);
}

void
DirectoryFollower::ApplyUpdate(const schema::DirectoryNews& aUpdate)
{
  if (aUpdate.epoch() < epoch_) {
    return;
  }
  bool isComparable = started_ && aUpdate.epoch() == epoch_;
  // One of several updates may end before this entry's own read and still
  // contain a removal that is known only as of the end of all of them.
  bool isOutdated = isComparable && aUpdate.end() < end_;
  if (!isOutdated) {
    // Also an update after a gap shows that the log answers other entries.
    if (IsOutageOfAll()) {
      graceUntil_ = clock_.Now() + kReregistrationGrace;
    }
    RecordRead();
  }
  for (const auto& row : aUpdate.records()) {
    if (!isComparable || row.offset() >= end_) {
      Apply({ row.key(), row.value(), row.offset(), row.dropped() });
    }
    if (aUpdate.epoch() == epoch_) {
      auto& offset = appliedAhead_[row.key()];
      offset = std::max(offset, row.offset());
      receivedOffsets_.insert(row.offset());
    }
  }
  // After a gap, or a restore of the log, the update isn't complete, but its
  // records are still valid, and an entry that the log refuses can't read the
  // missing ones. The next read starts at the gap and includes these records
  // again.
  bool hasGap = !isComparable || aUpdate.from() > end_;
  missedUpdate_ = missedUpdate_ || hasGap;
  if (!hasGap && !isOutdated) {
    AdvanceEnd(aUpdate.end());
    confirmedAt_ = clock_.Now();
  }
  RemoveExpired();
  if (onChange_ && aUpdate.records_size() > 0) {
    onChange_();
  }
}

// A statement that arrives late makes the log steady since a later time, which
// shortens less.
void
DirectoryFollower::ShortenGrace(const schema::DirectoryNews& aUpdate)
{
  auto steadyTime = Millis(static_cast<std::int64_t>(aUpdate.steady_ms()));
  if (aUpdate.epoch() < epoch_ || steadyTime == Millis(0)) {
    return;
  }
  auto since = clock_.Now() - steadyTime;
  peerSteadiness_ = { aUpdate.epoch(), since };
  if (aUpdate.epoch() != epoch_ || since + kReregistrationGrace > graceUntil_) {
    return;
  }
  graceUntil_ = since + kReregistrationGrace;
  for (auto& [id, removedAt] : missing_) {
    removedAt = std::min(removedAt, GetHoldEnd());
  }
  RemoveExpired();
}

void
DirectoryFollower::AdvanceEnd(std::uint64_t aEnd)
{
  end_ = aEnd;
  std::erase_if(appliedAhead_,
                [aEnd](const auto& aRow) { return aRow.second < aEnd; });
  receivedOffsets_.erase(
    receivedOffsets_.begin(),
    receivedOffsets_.lower_bound(readFrom_.value_or(aEnd)));
}

// The read of a gap may be limited or cut, and updates may overtake each other.
// A record that is older than an applied one must not revert it.
bool
DirectoryFollower::IsSuperseded(const platform::KeyedRecord& aRecord) const
{
  auto newer = appliedAhead_.find(aRecord.key);
  return newer != appliedAhead_.end() && aRecord.offset < newer->second;
}

// False if the record changes nothing, as most heartbeats do.
bool
DirectoryFollower::Apply(const platform::KeyedRecord& aRecord)
{
  if (IsSuperseded(aRecord)) {
    return false;
  }
  if (aRecord.dropped) {
    return Remove(aRecord.key, clock_.Now() >= GetHoldEnd());
  }
  utils::Error reason;
  auto upstream = codecs_.parseUpstream(aRecord.key, aRecord.value, reason);
  if (!upstream) {
    logger_.Report(reason, { { "upstream", aRecord.key } });
    // An unreadable record describes no upstream that requests could be sent
    // to.
    return Remove(aRecord.key, true);
  }
  bool reappeared = missing_.erase(aRecord.key) > 0;
  registry_.SetInDoubt(aRecord.key, false);
  auto existing = registry_.Find(aRecord.key);
  if (existing && existing->record == *upstream) {
    return reappeared;
  }
  bool changed = !existing ||
                 existing->record.startedMs != upstream->startedMs ||
                 existing->record.endpoint != upstream->endpoint ||
                 existing->record.draining != upstream->draining;
  if (changed) {
    logger_.Info("upstream",
                 { { "id", upstream->id },
                   { "service", upstream->service },
                   { "address", upstream->endpoint.ToString() },
                   { "draining", upstream->draining ? "yes" : "no" } });
  }
  registry_.Put(*upstream);
  return true;
}

bool
DirectoryFollower::Remove(const std::string& aId, bool aImmediately)
{
  if (!registry_.Find(aId)) {
    return false;
  }
  // Whether the upstream has left or its entry has expired can't be
  // distinguished.
  registry_.SetInDoubt(aId, true);
  missing_.try_emplace(aId, aImmediately ? clock_.Now() : GetHoldEnd());
  return true;
}

Millis
DirectoryFollower::GetNextExpiry() const
{
  constexpr Millis kNever(std::numeric_limits<std::int64_t>::max());
  auto next = std::ranges::min_element(
    missing_, {}, [](const auto& aRow) { return aRow.second; });
  return next == missing_.end() ? kNever : next->second;
}

void
DirectoryFollower::RemoveExpired()
{
  auto now = clock_.Now();
  for (auto row = missing_.begin(); row != missing_.end();) {
    if (now < row->second) {
      ++row;
      continue;
    }
    logger_.Info("upstream gone", { { "id", row->first } });
    auto state = registry_.Find(row->first);
    if (state) {
      removed_[row->first] = { state->record.startedMs, now };
    }
    registry_.Remove(row->first);
    row = missing_.erase(row);
  }
  std::erase_if(removed_, [now](const auto& aRow) {
    return now - aRow.second.at > kRemovalMemory;
  });
}

} // namespace waxwingyoke::fleet
