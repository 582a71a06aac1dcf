#include <profiles/Fold.h>

#include <algorithm>
#include <array>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <profiles/Validate.h>

namespace waxwingyoke::profiles {

namespace {

// A publisher that lost the log's answer retries with the same id within
// minutes. Operators and the quarantine make far fewer changes than this in
// that time, so the retry is still recognised.
constexpr std::size_t kMaxRecentIds = 1024;
constexpr std::size_t kMaxRetired = 1024;
constexpr std::size_t kMaxQuarantine = 1024;
constexpr std::size_t kMaxIdBytes = 64;

constexpr auto kOutcomeCount = static_cast<std::size_t>(FoldOutcome::Count);
constexpr std::array<std::string_view, kOutcomeCount> kOutcomeNames{
  "accepted", "repeated", "conflict",  "overlap",  "invalid",
  "unknown",  "broken",   "too_large", "snapshot", "old"
};

// Removes the entry with the lowest log offset if the map exceeds aLimit. The
// choice depends on the log alone, so that all nodes drop the same entry.
template<typename Map, typename GetAge>
void
DropOldestBeyond(Map& aMap, std::size_t aLimit, GetAge aGetAge)
{
  if (aMap.size() > aLimit) {
    aMap.erase(std::ranges::min_element(
      aMap, {}, [&](const auto& aEntry) { return aGetAge(aEntry.second); }));
  }
}

std::optional<schema::LogRecord>
ParseRecord(std::string_view aPayload)
{
  schema::LogRecord record;
  if (!record.ParseFromArray(aPayload.data(),
                             static_cast<int>(aPayload.size()))) {
    return std::nullopt;
  }
  return record;
}

} // namespace

std::string_view
GetName(FoldOutcome aOutcome)
{
  return kOutcomeNames.at(static_cast<std::size_t>(aOutcome));
}

Fold::Fold(std::uint64_t aNextOffset, const schema::ConfigState& aState)
{
  config_.nextOffset = aNextOffset;
  std::ranges::for_each(aState.profiles(), [this](const auto& aProfile) {
    config_.profiles[aProfile.name()] = aProfile;
  });
  std::ranges::for_each(aState.retired(), [this](const auto& aRetired) {
    config_.retired[aRetired.name()] = aRetired;
  });
  std::ranges::for_each(aState.quarantine(), [this](const auto& aEntry) {
    quarantine_[aEntry.request_digest()] = aEntry;
    config_.quarantine.insert(aEntry.request_digest());
  });
  std::ranges::for_each(aState.recent_ids(),
                        [this](const auto& aId) { AddRecentId(aId); });
}

std::shared_ptr<const Config>
Fold::GetConfig() const
{
  return std::make_shared<const Config>(config_);
}

FoldResult
Fold::Apply(std::uint64_t aOffset, std::string_view aPayload)
{
  FoldResult result;
  if (aOffset < config_.nextOffset) {
    return result;
  }
  config_.nextOffset = aOffset + 1;
  result.outcome = FoldOutcome::TooLarge;
  if (aPayload.size() > kMaxSnapshotBytes) {
    return result;
  }
  auto record = ParseRecord(aPayload);
  if (!record) {
    result.outcome = FoldOutcome::Broken;
    return result;
  }
  result.id = record->id();
  if (record->has_snapshot()) {
    result.outcome = FoldOutcome::Snapshot;
    return result;
  }
  return aPayload.size() > kMaxChangeBytes ? result
                                           : ApplyRecord(aOffset, *record);
}

FoldResult
Fold::ApplyRecord(std::uint64_t aOffset, const schema::LogRecord& aRecord)
{
  FoldResult result;
  result.id = aRecord.id();
  if (result.id.empty() || result.id.size() > kMaxIdBytes) {
    result.outcome = FoldOutcome::Broken;
    return result;
  }
  if (!aRecord.has_profile_change() && !aRecord.has_quarantine_change()) {
    result.outcome = FoldOutcome::Unknown;
    return result;
  }
  if (recentIdSet_.contains(result.id)) {
    result.outcome = FoldOutcome::Repeated;
    return result;
  }
  // Ids of refused records are kept as well: a repeat must not be accepted
  // after the conflicting change has been replaced or retired.
  AddRecentId(result.id);
  result.revision = aOffset + 1;
  if (aRecord.has_profile_change()) {
    ApplyChange(aRecord.profile_change(), result);
  } else {
    ApplyQuarantine(aRecord.quarantine_change(), result);
  }
  return result;
}

void
Fold::ApplyChange(const schema::ProfileChange& aChange, FoldResult& aResult)
{
  utils::Error reason;
  const auto& name = aChange.profile().name();
  bool isNew = !config_.profiles.contains(name);
  bool isFull = isNew && config_.profiles.size() >= kMaxProfiles;
  if (!ValidateChange(aChange, reason) || isFull) {
    aResult.outcome = FoldOutcome::Invalid;
    return;
  }
  aResult.profile = name;
  if (HasConflict(aChange, aResult) || HasOverlap(aChange, aResult)) {
    return;
  }
  aResult.outcome = FoldOutcome::Accepted;
  aResult.author = aChange.author();
  if (aChange.kind() == schema::RETIRE) {
    Retire(aChange, aResult.revision);
    return;
  }
  auto& profile = config_.profiles[name];
  profile = aChange.profile();
  profile.set_revision(aResult.revision);
  profile.set_author(aChange.author());
  config_.retired.erase(name);
}

bool
Fold::HasConflict(const schema::ProfileChange& aChange,
                  FoldResult& aResult) const
{
  const auto& name = aChange.profile().name();
  const auto* live = config_.FindProfile(name);
  auto revision = config_.GetRevision(name);
  bool isAlreadyAbsent = aChange.kind() == schema::RETIRE && !live;
  if (revision == aChange.replaces_revision() && !isAlreadyAbsent) {
    return false;
  }
  aResult.outcome = FoldOutcome::Conflict;
  aResult.revision = revision;
  auto retired = config_.retired.find(name);
  if (live) {
    aResult.author = live->author();
  } else if (retired != config_.retired.end()) {
    aResult.author = retired->second.author();
  }
  return true;
}

bool
Fold::HasOverlap(const schema::ProfileChange& aChange,
                 FoldResult& aResult) const
{
  if (aChange.kind() == schema::RETIRE) {
    return false;
  }
  const auto& proposed = aChange.profile();
  auto found = std::ranges::find_if(config_.profiles, [&](const auto& aEntry) {
    return aEntry.first != proposed.name() &&
           Overlap(aEntry.second.vms(), proposed.vms());
  });
  if (found == config_.profiles.end()) {
    return false;
  }
  aResult.outcome = FoldOutcome::Overlap;
  aResult.revision = found->second.revision();
  aResult.author = found->second.author();
  aResult.profile = found->first;
  return true;
}

void
Fold::Retire(const schema::ProfileChange& aChange, std::uint64_t aRevision)
{
  const auto& name = aChange.profile().name();
  config_.profiles.erase(name);
  schema::RetiredProfile retired;
  retired.set_name(name);
  retired.set_revision(aRevision);
  retired.set_author(aChange.author());
  config_.retired[name] = retired;
  DropOldestBeyond(config_.retired, kMaxRetired, [](const auto& aRetired) {
    return aRetired.revision();
  });
}

void
Fold::ApplyQuarantine(const schema::QuarantineChange& aChange,
                      FoldResult& aResult)
{
  if (!utils::Digest::Parse(aChange.request_digest())) {
    aResult.outcome = FoldOutcome::Invalid;
    return;
  }
  aResult.outcome = FoldOutcome::Accepted;
  aResult.author = aChange.author();
  if (aChange.lift()) {
    quarantine_.erase(aChange.request_digest());
  } else {
    auto& entry = quarantine_[aChange.request_digest()];
    entry.set_request_digest(aChange.request_digest());
    entry.set_offset(aResult.revision - 1);
    entry.set_reason(aChange.reason());
    DropOldestBeyond(quarantine_, kMaxQuarantine, [](const auto& aEntry) {
      return aEntry.offset();
    });
  }
  config_.quarantine.clear();
  std::ranges::for_each(quarantine_, [this](const auto& aEntry) {
    config_.quarantine.insert(aEntry.first);
  });
}

void
Fold::AddRecentId(const std::string& aId)
{
  recentIds_.push_back(aId);
  recentIdSet_.insert(aId);
  if (recentIds_.size() > kMaxRecentIds) {
    recentIdSet_.erase(recentIds_.front());
    recentIds_.pop_front();
  }
}

schema::ConfigState
Fold::GetState() const
{
  schema::ConfigState state;
  std::ranges::for_each(config_.profiles, [&state](const auto& aEntry) {
    *state.add_profiles() = aEntry.second;
  });
  std::ranges::for_each(config_.retired, [&state](const auto& aEntry) {
    *state.add_retired() = aEntry.second;
  });
  std::ranges::for_each(quarantine_, [&state](const auto& aEntry) {
    *state.add_quarantine() = aEntry.second;
  });
  std::ranges::for_each(
    recentIds_, [&state](const auto& aId) { state.add_recent_ids(aId); });
  return state;
}

utils::Digest
Fold::GetDigest(const schema::ConfigState& aState)
{
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    aState.SerializeToCodedStream(&coded);
  }
  return utils::Digest::Of(bytes);
}

schema::Snapshot
Fold::MakeSnapshot() const
{
  schema::Snapshot snapshot;
  snapshot.set_next_offset(config_.nextOffset);
  *snapshot.mutable_state() = GetState();
  snapshot.set_digest(GetDigest(snapshot.state()).ToHex());
  snapshot.set_format(kFormat);
  return snapshot;
}

std::optional<schema::Snapshot>
ReadSnapshot(std::string_view aPayload)
{
  if (aPayload.size() > kMaxSnapshotBytes) {
    return std::nullopt;
  }
  auto record = ParseRecord(aPayload);
  if (!record || !record->has_snapshot()) {
    return std::nullopt;
  }
  const auto& snapshot = record->snapshot();
  if (Fold::GetDigest(snapshot.state()).ToHex() != snapshot.digest()) {
    return std::nullopt;
  }
  return snapshot;
}

} // namespace waxwingyoke::profiles
