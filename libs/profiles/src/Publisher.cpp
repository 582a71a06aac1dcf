#include <profiles/Publisher.h>

#include <net/Runtime.h>
#include <profiles/Validate.h>
#include <utils/Hash.h>

namespace waxwingyoke::profiles {

namespace {

using utils::Error;
using utils::ErrorKind;
using utils::Millis;

constexpr std::uint32_t kMaxPageRecords = 500;
// On a busy log, entries reduce their claim appends in favour of operators'
// changes. The timeout is longer than that takes.
constexpr Millis kAppendTimeout(4000);
constexpr Millis kAppendRetryDelay(150);

} // namespace

Publisher::Publisher(platform::LogClient& aLog)
  : log_(aLog)
{
  replay_.OnRecord([this](std::uint64_t, const FoldResult& aResult) {
    if (aResult.outcome != FoldOutcome::Repeated && !aResult.id.empty()) {
      resultsById_.emplace(aResult.id, aResult);
    }
  });
}

std::optional<PublishResult>
Publisher::Publish(const schema::ProfileChange& aChange,
                   const std::string& aId,
                   Error& aReason)
{
  if (!ValidateChange(aChange, aReason)) {
    return std::nullopt;
  }
  schema::LogRecord record;
  record.set_id(aId.empty() ? utils::MakeUniqueId() : aId);
  *record.mutable_profile_change() = aChange;
  if (!aId.empty()) {
    if (!ReadToEnd(aReason)) {
      return std::nullopt;
    }
    if (auto result = FindResult(aChange, aId)) {
      return result;
    }
  }
  if (!Append(record.SerializeAsString(), record.id(), aReason)) {
    // An earlier append with a given id may still reach the log, so the log is
    // read even if this append certainly failed.
    if (aReason.kind != ErrorKind::OutcomeUnknown && aId.empty()) {
      return std::nullopt;
    }
  }
  PublishResult unknown;
  unknown.id = record.id();
  unknown.difference = aReason.detail;
  Error readReason;
  if (!ReadToEnd(readReason)) {
    unknown.difference = readReason.detail;
    return unknown;
  }
  return FindResult(aChange, record.id()).value_or(unknown);
}

bool
Publisher::Append(const std::string& aPayload,
                  const std::string& aId,
                  Error& aReason)
{
  bool mayHaveReachedLog = false;
  auto deadline = clock_.Now() + kAppendTimeout;
  while (clock_.Now() < deadline) {
    if (log_.Append(platform::kConfigStream, aPayload, aReason)) {
      return true;
    }
    // The append may have reached the log although its answer was lost.
    mayHaveReachedLog =
      mayHaveReachedLog || aReason.kind == ErrorKind::OutcomeUnknown;
    net::Runtime::Sleep(kAppendRetryDelay);
  }
  if (mayHaveReachedLog) {
    aReason.Set(ErrorKind::OutcomeUnknown, aId + ": " + aReason.detail);
  }
  return false;
}

std::optional<PublishResult>
Publisher::FindResult(const schema::ProfileChange& aChange,
                      const std::string& aId) const
{
  auto found = resultsById_.find(aId);
  if (found == resultsById_.end()) {
    return std::nullopt;
  }
  const auto& folded = found->second;
  PublishResult result;
  result.id = aId;
  result.revision = folded.revision;
  result.author = folded.author;
  if (folded.outcome == FoldOutcome::Accepted) {
    result.kind = PublishResult::Kind::Accepted;
    return result;
  }
  result.kind = PublishResult::Kind::Conflict;
  if (folded.outcome == FoldOutcome::Conflict) {
    const auto config = replay_.GetFold().GetConfig();
    result.difference = DescribeDifference(config->FindProfile(folded.profile),
                                           aChange.profile());
  } else {
    result.difference =
      std::string(GetName(folded.outcome)) + ": " + folded.profile;
  }
  return result;
}

bool
Publisher::ReadToEnd(Error& aReason)
{
  for (;;) {
    auto page = log_.ReadRetained(platform::kConfigStream,
                                  replay_.GetReadOffset(),
                                  kMaxPageRecords,
                                  Millis(0),
                                  aReason);
    if (!page) {
      return false;
    }
    replay_.Add(*page);
    if (replay_.GetReadOffset() < page->next_offset()) {
      continue;
    }
    if (!replay_.IsStarted()) {
      aReason.Set(ErrorKind::LogTrimmed,
                  "the log was trimmed and contains no usable snapshot");
      return false;
    }
    return true;
  }
}

std::optional<Preview>
Publisher::PreviewChange(const schema::ProfileChange& aChange,
                         const schema::VmList& aVms,
                         Error& aReason)
{
  if (!ValidateChange(aChange, aReason) || !ReadToEnd(aReason)) {
    return std::nullopt;
  }
  return MakePreview(replay_.GetFold(), aChange, aVms);
}

std::optional<Config>
Publisher::ReadConfig(Error& aReason)
{
  if (!ReadToEnd(aReason)) {
    return std::nullopt;
  }
  return *replay_.GetFold().GetConfig();
}

bool
Publisher::StartOver(Error& aReason)
{
  if (ReadToEnd(aReason)) {
    aReason.Set(ErrorKind::Conflict, "the log still has the state");
    return false;
  }
  if (aReason.kind != ErrorKind::LogTrimmed) {
    return false;
  }
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  *record.mutable_snapshot() =
    Fold(replay_.GetReadOffset(), schema::ConfigState()).MakeSnapshot();
  return Append(record.SerializeAsString(), record.id(), aReason);
}

} // namespace waxwingyoke::profiles
