#include "ConfigFollower.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

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
// Reads that fail in a row and show an outage of the log. A single one may be
// due to a lost packet, or to a suspension of this process.
constexpr int kOutageReads = 2;
// Longest time that a failed read takes beyond its wait. A longer one shows
// that this process was suspended, and nothing of the log.
constexpr Millis kMaxReadOverhead(2500);

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
  , clock_(aOptions.clock)
  , firstWait_(aOptions.wait)
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

void
ConfigFollower::SetReadRank(std::size_t aRank, std::size_t aCount)
{
  firstWait_ = options_.wait * static_cast<std::int64_t>(aRank + 1) /
               static_cast<std::int64_t>(std::max<std::size_t>(aCount, 1));
}

bool
ConfigFollower::IsReadDue() const
{
  // Peers of an older release pass no evacuations on, although they have read
  // them.
  bool lacksEvacuations = appliedPeerEnd_ > evacuations_.GetEnd();
  return isReader_ || GetAge() >= options_.peersInterval || lacksEvacuations;
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
  evacuations_.BeginEpoch(isRestored ? clock_.Now() + options_.rewriteTime
                                     : Millis(0));
  epoch_ = aEpoch;
  started_ = false;
  end_ = 0;
  appliedPeerEnd_ = 0;
  if (!isRestored) {
    return;
  }
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
  auto wait = isFirstRead_ ? firstWait_ : options_.wait;
  return isConfirmed ? wait : std::min(wait, untilConfirmed);
}

bool
ConfigFollower::Poll()
{
  // An answer confirms the state of the log at the time of the request.
  auto sentAt = clock_.Now();
  auto wait = started_ ? GetReadWait(sentAt) : Millis(0);
  auto epochBefore = epoch_;
  bool wasStarted = started_;
  utils::Error reason;
  auto page = started_ ? log_.Read(Topic::Operator, end_, wait, reason)
                       : log_.ReadNewest(Topic::Operator, reason);
  RecordLogResult(page.has_value(), reason);
  if (!page) {
    RecordFailedRead(sentAt, reason);
    return false;
  }
  backoff_.Reset();
  failedReads_ = 0;
  // An answer that was on its way while a peer reported a newer epoch.
  bool isOutdated = page->epoch != 0 && page->epoch < epoch_;
  if (isOutdated) {
    return false;
  }
  if (page->epoch > epoch_) {
    BeginEpoch(page->epoch);
  }
  // Read from an offset of the epoch before, also if a peer has reported the
  // new one meanwhile.
  if (wasStarted && epoch_ != epochBefore) {
    return Poll();
  }
  ApplyPage(*page, sentAt, wait);
  return true;
}

void
ConfigFollower::RecordFailedRead(Millis aSentAt, const utils::Error& aReason)
{
  if (aReason.kind == utils::ErrorKind::LogTrimmed) {
    started_ = false;
    return;
  }
  bool wasSuspended = clock_.Now() - aSentAt > options_.wait + kMaxReadOverhead;
  failedReads_ = wasSuspended ? 0 : failedReads_ + 1;
  if (failedReads_ >= kOutageReads) {
    outageAt_ = aSentAt;
  }
}

void
ConfigFollower::ApplyPage(const platform::KeyedPage& aPage,
                          Millis aSentAt,
                          Millis aWait)
{
  auto versionBefore = GetConfigVersion();
  auto before = evacuations_.List();
  bool isUnchanged = aPage.records.empty() && aPage.end == end_;
  if (!started_) {
    ConfirmUnreadable();
  }
  std::ranges::for_each(aPage.records,
                        [this](const auto& aRecord) { Apply(aRecord); });
  ApplyEvacuations(aPage);
  end_ = std::max(end_, aPage.end);
  started_ = std::ranges::all_of(unreadableVersions_, [](const auto& aRow) {
    return aRow.second.isConfirmed;
  });
  isFirstRead_ = !aPage.records.empty();
  // A newer configuration shows that the operator has written again.
  if (GetConfigVersion() > versionBefore) {
    unconfirmedUntil_ = aSentAt;
    evacuations_.DropKept();
  }
  if (aSentAt >= unconfirmedUntil_ && aPage.reachesEnd) {
    evacuations_.Confirm(aSentAt);
    confirmedAt_ = std::max(confirmedAt_.value_or(aSentAt), aSentAt);
    // The log answers without records only at the end of the wait.
    auto waitEnd = aSentAt + aWait;
    bool waited = isUnchanged && waitEnd <= clock_.Now();
    if (started_) {
      appliedAt_ = std::max(appliedAt_, { waited ? waitEnd : aSentAt });
    }
  }
  LogEvacuations("log");
  // Those that were kept after a restore of the log end without a record.
  bool hasEvacuationChange = evacuations_.List() != before;
  if (onChange_ && (!aPage.records.empty() || hasEvacuationChange)) {
    onChange_();
  }
}

void
ConfigFollower::ApplyEvacuations(const platform::KeyedPage& aPage)
{
  std::vector<EvacuationRecord> records;
  for (const auto& record : aPage.records) {
    auto dataCentre = codecs_.parseOperatorKey(record.key).evacuated;
    if (!dataCentre.empty()) {
      records.push_back({ dataCentre, record.offset, record.dropped });
    }
  }
  if (started_) {
    evacuations_.ApplyChanges(records, aPage.end);
  } else {
    evacuations_.ApplyNewest(records, aPage.end);
  }
}

void
ConfigFollower::LogEvacuations(std::string_view aSource)
{
  auto now = evacuations_.List();
  auto log = [&](const char* aText,
                 const std::string& aDataCentre,
                 std::uint64_t aOffset) {
    logger_.Info(aText,
                 { { "data_centre", aDataCentre },
                   { "offset", std::to_string(aOffset) },
                   { "source", std::string(aSource) } });
  };
  for (const auto& [dataCentre, offset] : now) {
    if (!loggedEvacuations_.contains(dataCentre)) {
      log("data centre evacuated", dataCentre, offset);
    }
  }
  for (const auto& [dataCentre, offset] : loggedEvacuations_) {
    if (!now.contains(dataCentre)) {
      log("evacuation ended", dataCentre, evacuations_.GetEnd());
    }
  }
  loggedEvacuations_ = std::move(now);
}

std::set<std::string>
ConfigFollower::GetEvacuated() const
{
  std::set<std::string> dataCentres;
  std::ranges::transform(evacuations_.List(),
                         std::inserter(dataCentres, dataCentres.end()),
                         [](const auto& aRow) { return aRow.first; });
  return dataCentres;
}

void
ConfigFollower::RecordLogResult(bool aAvailable, const utils::Error& aReason)
{
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
  logger_.Info(
    "configuration in force",
    { { "version", std::to_string(config->version) },
      { "offset", std::to_string(aOffset) },
      { "routes", std::to_string(config->routes.size()) },
      { "needs_keys", config->needsKeys ? "yes" : "no" },
      { "organisations", std::to_string(config->organisations.size()) } });
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
    RecordUnreadable(aModel, aText, reason);
    return;
  }
  NamedVersion named{ *version, clock_.Now(), {}, {} };
  SetOwnBounds(aModel, named);
  unreadableVersions_.erase(aModel);
  AddVersion(aModel, named, "log");
}

void
ConfigFollower::RecordUnreadable(const std::string& aModel,
                                 const std::string& aText,
                                 const utils::Error& aReason)
{
  auto [row, isFirst] = unreadableVersions_.try_emplace(
    aModel, UnreadableVersion{ {}, appliedAt_ });
  auto& unreadable = row->second;
  if (isFirst || unreadable.text != aText) {
    unreadable.text = aText;
    unreadable.isConfirmed = false;
    logger_.Report(aReason, { { "model", aModel } });
  }
}

// A record that was damaged in transit may name a version, so everything is
// read once more. One that the topic holds like that names none.
void
ConfigFollower::ConfirmUnreadable()
{
  std::ranges::for_each(unreadableVersions_,
                        [](auto& aRow) { aRow.second.isConfirmed = true; });
}

// A version that is older than one that is held may have been named, and
// superseded, unread before appliedAt_.
void
ConfigFollower::SetOwnBounds(const std::string& aModel, NamedVersion& aNamed)
{
  if (versions_.IsNewer(aModel, aNamed.version)) {
    auto unreadable = unreadableVersions_.find(aModel);
    aNamed.absentAt = std::max(aNamed.absentAt,
                               unreadable == unreadableVersions_.end()
                                 ? appliedAt_
                                 : unreadable->second.absentAt);
    aNamed.outageAt = outageAt_;
  }
}

void
ConfigFollower::AddVersion(const std::string& aModel,
                           const NamedVersion& aNamed,
                           std::string_view aSource)
{
  if (!versions_.Add(aModel, aNamed)) {
    return;
  }
  namingRequests_ = options_.namingRequests;
  auto ageText = [now = clock_.Now()](const std::optional<Millis>& aTime) {
    return aTime ? std::to_string((now - *aTime).value) : std::string();
  };
  logger_.Info("version named",
               { { "model", aModel },
                 { "version", std::to_string(aNamed.version) },
                 { "source", std::string(aSource) },
                 { "limit_age_ms", ageText(aNamed.GetLimitStart()) },
                 { "observed_ms", ageText(aNamed.observedAt) },
                 { "absent_ms", ageText(aNamed.absentAt) },
                 { "outage_ms", ageText(aNamed.outageAt) } });
}

bool
ConfigFollower::TakeNamingRequest()
{
  if (namingRequests_ == 0) {
    return false;
  }
  --namingRequests_;
  return true;
}

std::optional<Millis>
ConfigFollower::FindLimitStart(const std::string& aModel,
                               std::uint64_t aVersion) const
{
  auto next = FindNextVersion(aModel, aVersion);
  return next ? next->GetLimitStart() : std::max(appliedAt_, outageAt_);
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
  versions_.Fill(record, clock_.Now());
  *record.mutable_evacuations() = evacuations_.MakeState(clock_.Now());
  return record;
}

void
ConfigFollower::ApplyPeerRecord(const schema::OperatorRecord& aRecord,
                                Millis aRequestedAt)
{
  auto now = clock_.Now();
  for (const auto& row : aRecord.versions()) {
    auto named = ReadNamedVersion(row, now - aRequestedAt, now);
    if (versions_.Narrow(row.model(), named)) {
      continue;
    }
    SetOwnBounds(row.model(), named);
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
  auto confirmedAt = aRequestedAt - utils::BoundMillis(aRecord.age_ms());
  if (aRecord.epoch() == epoch_) {
    appliedAt_ = std::max(appliedAt_, { confirmedAt });
  }
  if (version > 0 && version == GetConfigVersion()) {
    confirmedAt_ = std::max(confirmedAt_.value_or(confirmedAt), confirmedAt);
  }
  ApplyPeerEvacuations(aRecord, aRequestedAt);
  if (config_) {
    updateAvailable_.notify_all();
  }
  if (onChange_) {
    onChange_();
  }
}

// Confirmed only by a peer whose evacuations are as new as the rest of its
// record: part of that may come from an older release, which passes none on.
void
ConfigFollower::ApplyPeerEvacuations(const schema::OperatorRecord& aRecord,
                                     Millis aRequestedAt)
{
  if (!aRecord.has_evacuations() || aRecord.epoch() != epoch_) {
    return;
  }
  const auto& state = aRecord.evacuations();
  bool isNewest = state.end() >= std::max(aRecord.end(), evacuations_.GetEnd());
  evacuations_.ApplyState(state, aRequestedAt);
  if (isNewest) {
    evacuations_.Confirm(aRequestedAt - utils::BoundMillis(aRecord.age_ms()));
  }
  LogEvacuations("peer");
}

} // namespace waxwingyoke::fleet
