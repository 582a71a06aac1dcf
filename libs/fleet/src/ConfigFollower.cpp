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
      lock, options_.interval.ToChrono(), [this] { return peerEnd_ > end_; });
    return;
  }
  while (GetAge() < options_.interval) {
    updateAvailable_.wait_for(lock, (options_.interval - GetAge()).ToChrono());
  }
}

void
ConfigFollower::ApplyPeerEnd(std::uint64_t aEnd)
{
  peerEnd_ = std::max(peerEnd_, aEnd);
  if (started_ && peerEnd_ > end_) {
    updateAvailable_.notify_all();
  }
}

bool
ConfigFollower::Poll()
{
  // An answer confirms the state of the log at the time of the request.
  auto sentAt = clock_.Now();
  utils::Error reason;
  auto page = started_ ? log_.Read(Topic::Operator, end_, options_.wait, reason)
                       : log_.ReadNewest(Topic::Operator, reason);
  RecordLogResult(page.has_value(), reason);
  if (!page) {
    started_ = started_ && reason.kind != utils::ErrorKind::LogTrimmed;
    return false;
  }
  backoff_.Reset();
  std::ranges::for_each(page->records,
                        [this](const auto& aRecord) { Apply(aRecord); });
  end_ = std::max(end_, page->end);
  confirmedAt_ = std::max(confirmedAt_.value_or(sentAt), sentAt);
  started_ = true;
  if (onChange_ && !page->records.empty()) {
    onChange_();
  }
  return true;
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

void
ConfigFollower::ApplyConfig(const std::string& aText, std::uint64_t aOffset)
{
  utils::Error reason;
  auto config = codecs_.parseConfig(aText, reason);
  if (!config) {
    logger_.Report(reason, { { "offset", std::to_string(aOffset) } });
    return;
  }
  if (config_ && config->version <= config_->version) {
    return;
  }
  logger_.Info("configuration in force",
               { { "version", std::to_string(config->version) },
                 { "offset", std::to_string(aOffset) },
                 { "routes", std::to_string(config->routes.size()) } });
  text_ = aText;
  offset_ = aOffset;
  config_ = std::make_shared<const platform::FleetConfig>(std::move(*config));
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
  AddVersion(aModel, { *version, clock_.Now(), live });
}

void
ConfigFollower::AddVersion(const std::string& aModel,
                           const NamedVersion& aNamed)
{
  auto& named = versions_[aModel];
  if (!named.empty() && aNamed.version <= named.back().version) {
    return;
  }
  if (named.size() == kMaxVersions) {
    named.erase(named.begin());
  }
  named.push_back(aNamed);
  logger_.Info(
    "version named",
    { { "model", aModel }, { "version", std::to_string(aNamed.version) } });
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
    AddVersion(row.model(), named);
  }
  appliedPeerEnd_ = std::max(appliedPeerEnd_, aRecord.end());
  auto confirmedAt = timeOfAge(aRecord.age_ms());
  if (!confirmedAt_ || confirmedAt > *confirmedAt_) {
    bool hasText = !aRecord.config().empty();
    if (hasText) {
      ApplyConfig(aRecord.config(), aRecord.offset());
    }
    // The peer's record doesn't confirm a configuration that was read from the
    // log after the record was made. A record without text doesn't confirm a
    // configuration older than its own.
    if (config_ && (offset_ == aRecord.offset() ||
                    (hasText && offset_ < aRecord.offset()))) {
      confirmedAt_ = confirmedAt;
    }
  }
  if (config_) {
    updateAvailable_.notify_all();
  }
  if (onChange_) {
    onChange_();
  }
}

} // namespace waxwingyoke::fleet
