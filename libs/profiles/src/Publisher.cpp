#include <profiles/Publisher.h>

#include <google/protobuf/util/message_differencer.h>

#include <profiles/Validate.h>
#include <utils/Hash.h>

namespace waxwingyoke::profiles {

namespace {

using utils::Error;
using utils::ErrorKind;
using utils::Millis;

constexpr std::uint32_t kPageRecords = 500;
constexpr int kAppendAttempts = 3;

} // namespace

std::string
DescribeDifference(const schema::Profile* aStanding,
                   const schema::Profile& aWanted)
{
  if (!aStanding) {
    return "no such profile is in force";
  }
  google::protobuf::util::MessageDifferencer differencer;
  const auto* fields = schema::Profile::descriptor();
  differencer.IgnoreField(fields->FindFieldByName("revision"));
  differencer.IgnoreField(fields->FindFieldByName("author"));
  std::string text;
  differencer.ReportDifferencesToString(&text);
  differencer.Compare(*aStanding, aWanted);
  return text.empty() ? "no difference" : text;
}

Publisher::Publisher(platform::LogClient& aLog)
  : log_(aLog)
{
  replay_.OnRecord([this](std::uint64_t, const FoldResult& aResult) {
    if (aResult.outcome != FoldOutcome::Repeated && !aResult.id.empty()) {
      decided_.emplace(aResult.id, aResult);
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
    if (auto result = Find(aChange, aId)) {
      return result;
    }
  }
  if (!Append(record.SerializeAsString(), record.id(), aReason)) {
    // An id that was sent before may still arrive, whatever happens now.
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
  return Find(aChange, record.id()).value_or(unknown);
}

bool
Publisher::Append(const std::string& aPayload,
                  const std::string& aId,
                  Error& aReason)
{
  bool isUnknown = false;
  for (int i = 0; i < kAppendAttempts; ++i) {
    if (log_.Append(platform::kConfigStream, aPayload, aReason)) {
      return true;
    }
    // An earlier attempt may have reached the log; only reading tells.
    isUnknown = isUnknown || aReason.kind == ErrorKind::OutcomeUnknown;
    if (!isUnknown) {
      return false;
    }
  }
  aReason.Set(ErrorKind::OutcomeUnknown, aId + ": " + aReason.detail);
  return false;
}

std::optional<PublishResult>
Publisher::Find(const schema::ProfileChange& aChange,
                const std::string& aId) const
{
  auto found = decided_.find(aId);
  if (found == decided_.end()) {
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
    auto page = log_.ReadKept(platform::kConfigStream,
                              replay_.GetReadOffset(),
                              kPageRecords,
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
                  "the log's beginning is gone and it holds no snapshot");
      return false;
    }
    return true;
  }
}

std::optional<Config>
Publisher::ReadConfig(Error& aReason)
{
  if (!ReadToEnd(aReason)) {
    return std::nullopt;
  }
  return *replay_.GetFold().GetConfig();
}

} // namespace waxwingyoke::profiles
