#include "ConfigFollower.h"

#include <algorithm>
#include <utility>

namespace waxwingyoke::fleet {

namespace {

using platform::Topic;
using utils::Millis;

// Doubled with each failure in a row.
constexpr Millis kPauseAfterFailure(200);
// Several changes in a row are read together.
constexpr Millis kPauseAfterChange(80);
// At a start, for other processes to tell what they know: after a restart of
// all, a long configuration read by each side would fill the links for seconds.
constexpr Millis kFirstRead(1500);
// A version is out of date seconds after the next is named.
constexpr std::size_t kMaxVersions = 8;

} // namespace

ConfigFollower::ConfigFollower(platform::KeyedLog& aLog,
                               const platform::FleetCodecs& aCodecs,
                               const Pace& aPace)
  : log_(aLog)
  , codecs_(aCodecs)
  , pace_(aPace)
  , backoff_(kPauseAfterFailure, aPace.longestPause)
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
  if (pace_.asksOthersFirst) {
    AwaitOthers();
  }
  while (true) {
    auto before = end_;
    if (!Poll()) {
      PauseAfterFailure();
    } else if (end_ != before) {
      net::Runtime::Sleep(kPauseAfterChange);
    } else {
      AwaitNews();
    }
  }
}

void
ConfigFollower::AwaitOthers()
{
  {
    std::unique_lock lock(mutex_);
    newsKnown_.wait_for(
      lock, kFirstRead.ToChrono(), [this] { return config_ != nullptr; });
  }
  AwaitNews();
}

// Reads that fail are charged like others; the first pause alone where others
// know of something newer.
void
ConfigFollower::PauseAfterFailure()
{
  bool isBehind = started_ && IsBehind();
  auto pause = backoff_.Take();
  net::Runtime::Sleep(isBehind ? backoff_.GetFirst() : pause);
}

void
ConfigFollower::AwaitNews()
{
  if (pace_.interval == Millis(0)) {
    return;
  }
  std::unique_lock lock(mutex_);
  if (!pace_.asksOthersFirst) {
    newsKnown_.wait_for(
      lock, pace_.interval.ToChrono(), [this] { return endElsewhere_ > end_; });
    return;
  }
  while (GetAge() < pace_.interval) {
    newsKnown_.wait_for(lock, (pace_.interval - GetAge()).ToChrono());
  }
}

void
ConfigFollower::NoteEnd(std::uint64_t aEnd)
{
  endElsewhere_ = std::max(endElsewhere_, aEnd);
  if (started_ && endElsewhere_ > end_) {
    newsKnown_.notify_all();
  }
}

bool
ConfigFollower::Poll()
{
  // An answer proves the state of the log when the question was sent.
  auto sentAt = clock_.Now();
  utils::Error reason;
  auto page = started_ ? log_.Read(Topic::Operator, end_, pace_.wait, reason)
                       : log_.ReadNewest(Topic::Operator, reason);
  NoteLog(page.has_value(), reason);
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
ConfigFollower::NoteLog(bool aAnswers, const utils::Error& aReason)
{
  sawFailure_ = sawFailure_ || !aAnswers;
  if (aAnswers == logAnswers_) {
    return;
  }
  logAnswers_ = aAnswers;
  if (aAnswers) {
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
  // What stood there at a start may be old, unless the log was away until now:
  // then a version's limit counts from its return.
  bool live = started_ || sawFailure_;
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
                                std::uint64_t aHeld) const
{
  auto row = versions_.find(aModel);
  if (row == versions_.end()) {
    return std::nullopt;
  }
  auto next =
    std::ranges::upper_bound(row->second, aHeld, {}, &NamedVersion::version);
  return next == row->second.end() ? std::nullopt : std::optional(*next);
}

// What stood there at the start may have been named long before.
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
      return !aNamed.learntLive || now - aNamed.learntAt >= aAge;
    });
  return found == row->second.rend() ? 0 : found->version;
}

std::optional<Millis>
ConfigFollower::FindSuccessorTime(const std::string& aModel,
                                  std::uint64_t aVersion) const
{
  auto next = FindNextVersion(aModel, aVersion);
  return next && next->learntLive ? std::optional(next->learntAt)
                                  : std::nullopt;
}

Millis
ConfigFollower::GetAge() const
{
  // Before the first proof it is older than any bound.
  constexpr Millis kUnknown(std::int64_t{ 1 } << 40);
  return confirmedAt_ ? clock_.Now() - *confirmedAt_ : kUnknown;
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
  record.set_end(std::max(end_, takenEnd_));
  record.set_age_ms(static_cast<std::uint64_t>(GetAge().value));
  for (const auto& [model, versions] : versions_) {
    for (const auto& named : versions) {
      auto& row = *record.add_versions();
      row.set_model(model);
      row.set_version(named.version);
      auto age = clock_.Now() - named.learntAt;
      row.set_age_ms(static_cast<std::uint64_t>(age.value));
      row.set_learnt_live(named.learntLive);
    }
  }
  return record;
}

void
ConfigFollower::Take(const schema::OperatorRecord& aRecord, Millis aDelay)
{
  auto now = clock_.Now();
  auto since = [&](std::uint64_t aAge) {
    return now - aDelay - Millis(static_cast<std::int64_t>(aAge));
  };
  for (const auto& row : aRecord.versions()) {
    NamedVersion named{ row.version(), since(row.age_ms()), row.learnt_live() };
    // The giver can't tell its age. Whoever runs and needs this record is cut
    // off from the log, and a version's limit counts from the log's return. For
    // one that starts it stood there before, as for the giver.
    if (!named.learntLive && config_) {
      named.learntAt = now;
      named.learntLive = true;
    }
    AddVersion(row.model(), named);
  }
  takenEnd_ = std::max(takenEnd_, aRecord.end());
  auto provedAt = since(aRecord.age_ms());
  if (!confirmedAt_ || provedAt > *confirmedAt_) {
    bool hasText = !aRecord.config().empty();
    if (hasText) {
      ApplyConfig(aRecord.config(), aRecord.offset());
    }
    // What was read from the log later than the other's record is not proved
    // by it, nor what is older than a record without its text.
    if (config_ && (offset_ == aRecord.offset() ||
                    (hasText && offset_ < aRecord.offset()))) {
      confirmedAt_ = provedAt;
    }
  }
  if (config_) {
    newsKnown_.notify_all();
  }
  if (onChange_) {
    onChange_();
  }
}

} // namespace waxwingyoke::fleet
