#include "ConfigFollower.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::fleet {

namespace {

using platform::Topic;
using utils::Millis;

// Doubled with each failure in a row, up to PollOptions::maxBackoff.
constexpr Millis kInitialBackoff(200);
// Delay after a change, so that several changes in a row are read together.
constexpr Millis kChangeBatchDelay(80);
// Time for other processes to send their state after a start. If all sides read
// a long configuration when the whole fleet restarts, their links are saturated
// for seconds.
constexpr Millis kInitialPeerWait(1500);
// A version becomes outdated seconds after the next one is named, so a few
// suffice.
constexpr std::size_t kMaxVersions = 8;

} // namespace

PeerPosition
ReadPosition(const schema::EntryNotice& aNotice)
{
  return { aNotice.operator_end(),
           aNotice.operator_epoch(),
           aNotice.config_version() };
}

void
FillPosition(const PeerPosition& aPosition, schema::EntryNotice& aNotice)
{
  aNotice.set_operator_end(aPosition.end);
  aNotice.set_operator_epoch(aPosition.epoch);
  aNotice.set_config_version(aPosition.configVersion);
}

ConfigFollower::ConfigFollower(platform::KeyedLog& aLog,
                               const platform::FleetCodecs& aCodecs,
                               const PollOptions& aOptions)
  : log_(aLog)
  , codecs_(aCodecs)
  , options_(aOptions)
  , backoff_(kInitialBackoff, aOptions.maxBackoff)
{
}

void
ConfigFollower::Start(net::Runtime& aRuntime, std::function<void()> aOnChange)
{
  onChange_ = std::move(aOnChange);
  aRuntime.Spawn([this] { Loop(); });
}

void
ConfigFollower::Loop()
{
  if (options_.prefersPeers) {
    WaitForPeers();
  }
  while (true) {
    WaitUntilReadDue();
    auto before = end_;
    if (!Poll()) {
      BackOff();
    } else if (end_ != before) {
      net::Runtime::Sleep(kChangeBatchDelay);
    } else {
      WaitForUpdate();
    }
  }
}

void
ConfigFollower::SetReader(bool aIsReader)
{
  isReader_ = aIsReader;
  updateAvailable_.notify_all();
}

bool
ConfigFollower::IsReadDue() const
{
  return isReader_ || GetAge() >= options_.peersInterval;
}

void
ConfigFollower::WaitUntilReadDue()
{
  std::unique_lock lock(mutex_);
  while (!IsReadDue()) {
    updateAvailable_.wait_for(lock,
                              (options_.peersInterval - GetAge()).ToChrono());
  }
}

void
ConfigFollower::WaitForPeers()
{
  {
    std::unique_lock lock(mutex_);
    updateAvailable_.wait_for(
      lock, kInitialPeerWait.ToChrono(), [this] { return config_ != nullptr; });
  }
  WaitForUpdate();
}

// Failed reads are charged like others, so they back off. Where a peer has
// reported newer records, only the initial backoff applies.
void
ConfigFollower::BackOff()
{
  bool isBehind = started_ && IsBehind();
  auto pause = backoff_.NextDelay();
  net::Runtime::Sleep(isBehind ? backoff_.GetFirst() : pause);
}

void
ConfigFollower::WaitForUpdate()
{
  if (options_.interval == Millis(0)) {
    return;
  }
  std::unique_lock lock(mutex_);
  if (!options_.prefersPeers) {
    updateAvailable_.wait_for(
      lock, options_.interval.ToChrono(), [this] { return IsPeerAhead(end_); });
    return;
  }
  while (GetAge() < options_.interval) {
    updateAvailable_.wait_for(lock, (options_.interval - GetAge()).ToChrono());
  }
}

void
ConfigFollower::ApplyPeerPosition(const PeerPosition& aPosition)
{
  peer_.configVersion = std::max(peer_.configVersion, aPosition.configVersion);
  if (aPosition.epoch > peer_.epoch) {
    peer_.epoch = aPosition.epoch;
    peer_.end = aPosition.end;
  } else if (aPosition.epoch == peer_.epoch) {
    peer_.end = std::max(peer_.end, aPosition.end);
  }
  if (started_ && IsPeerAhead(end_)) {
    updateAvailable_.notify_all();
  }
}

PeerPosition
ConfigFollower::GetPosition() const
{
  return { end_, epoch_, GetConfigVersion() };
}

// Offsets of an older epoch say nothing about this one.
bool
ConfigFollower::IsPeerAhead(std::uint64_t aEnd) const
{
  return peer_.epoch == epoch_ ? peer_.end > aEnd : peer_.epoch > epoch_;
}

// Reads everything anew from a log that was restored from an older copy. What
// this process holds stays in force. Records that no process has read before
// the restore may be missing in the copy, so reads confirm nothing until the
// operator had time to write them again.
void
ConfigFollower::BeginEpoch(std::uint64_t aEpoch)
{
  bool isRestored = epoch_ != 0;
  epoch_ = aEpoch;
  started_ = false;
  end_ = 0;
  appliedPeerEnd_ = 0;
  if (!isRestored) {
    return;
  }
  // A version that is first read now was named while this process ran.
  hadReadFailure_ = true;
  unconfirmedUntil_ = clock_.Now() + options_.rewriteTime;
  logger_.Warn("the log was restored from an older copy",
               { { "epoch", std::to_string(aEpoch) },
                 { "config", std::to_string(GetConfigVersion()) },
                 { "age_ms", std::to_string(GetAge().value) } });
}

// While nothing is confirmed after a restore of the log, reads end with that
// time, and the first one after it is answered at once.
Millis
ConfigFollower::GetReadWait(Millis aNow) const
{
  bool isConfirmed = confirmedAt_ && *confirmedAt_ >= unconfirmedUntil_;
  auto untilConfirmed = std::max(unconfirmedUntil_ - aNow, Millis(0));
  return isConfirmed ? options_.wait : std::min(options_.wait, untilConfirmed);
}

bool
ConfigFollower::Poll()
{
  // An answer confirms the state of the log at the time of the request.
  auto sentAt = clock_.Now();
  utils::Error reason;
  auto page = started_
                ? log_.Read(Topic::Operator, end_, GetReadWait(sentAt), reason)
                : log_.ReadNewest(Topic::Operator, reason);
  RecordLogResult(page.has_value(), reason);
  if (!page) {
    started_ = started_ && reason.kind != utils::ErrorKind::LogTrimmed;
    return false;
  }
  backoff_.Reset();
  // An answer that was on its way while a peer reported a newer epoch.
  bool isOutdated = page->epoch != 0 && page->epoch < epoch_;
  if (isOutdated) {
    return false;
  }
  bool wasStarted = started_;
  if (page->epoch > epoch_) {
    BeginEpoch(page->epoch);
    if (wasStarted) {
      return Poll();
    }
  }
  ApplyPage(*page, sentAt);
  return true;
}

void
ConfigFollower::ApplyPage(const platform::KeyedPage& aPage, Millis aSentAt)
{
  auto versionBefore = GetConfigVersion();
  std::ranges::for_each(aPage.records,
                        [this](const auto& aRecord) { Apply(aRecord); });
  end_ = std::max(end_, aPage.end);
  started_ = true;
  // A newer configuration shows that the operator has written again.
  if (GetConfigVersion() > versionBefore) {
    unconfirmedUntil_ = aSentAt;
  }
  if (aSentAt >= unconfirmedUntil_ && aPage.reachesEnd) {
    confirmedAt_ = std::max(confirmedAt_.value_or(aSentAt), aSentAt);
  }
  if (onChange_ && !aPage.records.empty()) {
    onChange_();
  }
}

void
ConfigFollower::RecordLogResult(bool aAvailable, const utils::Error& aReason)
{
  hadReadFailure_ = hadReadFailure_ || !aAvailable;
  if (aAvailable == logAvailable_) {
    return;
  }
  logAvailable_ = aAvailable;
  if (aAvailable) {
    logger_.Info("the log answers again",
                 { { "age_ms", std::to_string(GetAge().value) } });
  } else {
    logger_.Warn("the log does not answer",
                 { { "reason", aReason.detail },
                   { "age_ms", std::to_string(GetAge().value) } });
  }
}

void
ConfigFollower::Apply(const platform::KeyedRecord& aRecord)
{
  auto key = codecs_.parseOperatorKey(aRecord.key);
  if (key.isConfig && !aRecord.dropped) {
    ApplyConfig(aRecord.value, aRecord.offset);
  } else if (!key.model.empty() && !aRecord.dropped) {
    ApplyVersion(key.model, aRecord.value);
  }
}

std::uint64_t
ConfigFollower::ApplyConfig(const std::string& aText, std::uint64_t aOffset)
{
  utils::Error reason;
  auto config = codecs_.parseConfig(aText, reason);
  if (!config) {
    logger_.Report(reason, { { "offset", std::to_string(aOffset) } });
    return 0;
  }
  auto version = config->version;
  if (config_ && version <= config_->version) {
    return version;
  }
  logger_.Info("configuration in force",
               { { "version", std::to_string(config->version) },
                 { "offset", std::to_string(aOffset) },
                 { "routes", std::to_string(config->routes.size()) } });
  text_ = aText;
  offset_ = aOffset;
  config_ = std::make_shared<const platform::FleetConfig>(std::move(*config));
  return version;
}

void
ConfigFollower::ApplyVersion(const std::string& aModel,
                             const std::string& aText)
{
  utils::Error reason;
  auto version = codecs_.parseNamedVersion(aText, reason);
  if (!version) {
    logger_.Report(reason, { { "model", aModel } });
    return;
  }
  // Versions that are in the topic at a start may be old. If reads failed until
  // now, a version's time limit counts from the log's recovery.
  bool live = started_ || hadReadFailure_;
  AddVersion(aModel, { *version, clock_.Now(), live }, "log");
}

void
ConfigFollower::AddVersion(const std::string& aModel,
                           const NamedVersion& aNamed,
                           std::string_view aSource)
{
  auto& named = versions_[aModel];
  if (!named.empty() && aNamed.version <= named.back().version) {
    return;
  }
  if (named.size() == kMaxVersions) {
    named.erase(named.begin());
  }
  named.push_back(aNamed);
  auto age = clock_.Now() - aNamed.observedAt;
  logger_.Info("version named",
               { { "model", aModel },
                 { "version", std::to_string(aNamed.version) },
                 { "source", std::string(aSource) },
                 { "age_ms", std::to_string(age.value) },
                 { "timed", aNamed.observedLive ? "yes" : "no" },
                 // Since then the topic may have changed unnoticed.
                 { "confirmed_before_ms", std::to_string(GetAge().value) },
                 { "read_failed", hadReadFailure_ ? "yes" : "no" } });
}

std::optional<NamedVersion>
ConfigFollower::FindVersion(const std::string& aModel) const
{
  auto row = versions_.find(aModel);
  return row == versions_.end() ? std::nullopt
                                : std::optional(row->second.back());
}

std::optional<NamedVersion>
ConfigFollower::FindNextVersion(const std::string& aModel,
                                std::uint64_t aAfter) const
{
  auto row = versions_.find(aModel);
  if (row == versions_.end()) {
    return std::nullopt;
  }
  auto next =
    std::ranges::upper_bound(row->second, aAfter, {}, &NamedVersion::version);
  return next == row->second.end() ? std::nullopt : std::optional(*next);
}

// A version that was in the topic at the start may have been named long before,
// so it counts as older than any aAge.
std::uint64_t
ConfigFollower::FindVersionOfAge(const std::string& aModel, Millis aAge) const
{
  auto row = versions_.find(aModel);
  if (row == versions_.end()) {
    return 0;
  }
  auto now = clock_.Now();
  auto found = std::find_if(
    row->second.rbegin(), row->second.rend(), [&](const NamedVersion& aNamed) {
      return !aNamed.observedLive || now - aNamed.observedAt >= aAge;
    });
  return found == row->second.rend() ? 0 : found->version;
}

std::optional<Millis>
ConfigFollower::FindSuccessorTime(const std::string& aModel,
                                  std::uint64_t aVersion) const
{
  auto next = FindNextVersion(aModel, aVersion);
  return next && next->observedLive ? std::optional(next->observedAt)
                                    : std::nullopt;
}

Millis
ConfigFollower::GetAge() const
{
  // Before the first confirmation the age exceeds any bound.
  constexpr Millis kNeverConfirmed(std::int64_t{ 1 } << 40);
  return confirmedAt_ ? clock_.Now() - *confirmedAt_ : kNeverConfirmed;
}

std::optional<schema::OperatorRecord>
ConfigFollower::MakeRecord(bool aWithText) const
{
  if (!config_) {
    return std::nullopt;
  }
  schema::OperatorRecord record;
  if (aWithText) {
    record.set_config(text_);
  }
  record.set_offset(offset_);
  record.set_end(std::max(end_, appliedPeerEnd_));
  record.set_epoch(epoch_);
  record.set_config_version(config_->version);
  record.set_age_ms(static_cast<std::uint64_t>(GetAge().value));
  for (const auto& [model, versions] : versions_) {
    for (const auto& named : versions) {
      auto& row = *record.add_versions();
      row.set_model(model);
      row.set_version(named.version);
      auto age = clock_.Now() - named.observedAt;
      row.set_age_ms(static_cast<std::uint64_t>(age.value));
      row.set_learnt_live(named.observedLive);
    }
  }
  return record;
}

void
ConfigFollower::ApplyPeerRecord(const schema::OperatorRecord& aRecord,
                                Millis aDelay)
{
  auto now = clock_.Now();
  auto timeOfAge = [&](std::uint64_t aAge) {
    return now - aDelay - Millis(static_cast<std::int64_t>(aAge));
  };
  for (const auto& row : aRecord.versions()) {
    NamedVersion named{ row.version(),
                        timeOfAge(row.age_ms()),
                        row.learnt_live() };
    // The sender lacks this version's true age. A running process that needs
    // this record is cut off from the log, and there a version's limit counts
    // from the log's recovery. For a process that starts, the version was there
    // before, as it was for the sender.
    if (!named.observedLive && config_) {
      named.observedAt = now;
      named.observedLive = true;
    }
    AddVersion(row.model(), named, "peer");
  }
  if (aRecord.epoch() > epoch_) {
    BeginEpoch(aRecord.epoch());
  }
  if (aRecord.epoch() == epoch_) {
    appliedPeerEnd_ = std::max(appliedPeerEnd_, aRecord.end());
  }
  auto version = aRecord.config().empty()
                   ? aRecord.config_version()
                   : ApplyConfig(aRecord.config(), aRecord.offset());
  // The peer's record doesn't confirm a newer configuration, which was read
  // after the record was made, nor an older one.
  auto confirmedAt = timeOfAge(aRecord.age_ms());
  if (version > 0 && version == GetConfigVersion()) {
    confirmedAt_ = std::max(confirmedAt_.value_or(confirmedAt), confirmedAt);
  }
  if (config_) {
    updateAvailable_.notify_all();
  }
  if (onChange_) {
    onChange_();
  }
}

} // namespace waxwingyoke::fleet
