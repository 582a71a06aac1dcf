#include "History.h"

#include <algorithm>
#include <random>

#include <profiles/Fold.h>
#include <profiles/Validate.h>

namespace waxwingyoke::profiles::tests {

namespace {

/** Makes random records that refer to the state of those made before. */
class HistoryWriter
{
public:
  explicit HistoryWriter(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  std::string MakeNext()
  {
    switch (PickBelow(16)) {
      case 0:
        return MakeRepeat();
      case 1:
        return "\xff\xfenot a record";
      case 2:
        return MakeUnknownKind();
      case 3:
        return std::string(kMaxChangeBytes + 1, '\x12');
      case 4:
      case 5:
        return MakeQuarantine();
      case 6:
      case 7:
        return MakeSnapshotRecord();
      default:
        return MakeRandomChange();
    }
  }

  void AppendRecord(std::uint64_t aOffset, const std::string& aPayload)
  {
    fold_.Apply(aOffset, aPayload);
    written_.push_back(aPayload);
  }

private:
  std::size_t PickBelow(std::size_t aCount) { return random_() % aCount; }
  std::string MakeId() { return "id-" + std::to_string(random_()); }

  std::string MakeRepeat()
  {
    return written_.empty() ? MakeRandomChange()
                            : written_[PickBelow(written_.size())];
  }

  std::string MakeUnknownKind()
  {
    schema::LogRecord record;
    record.set_id(MakeId());
    record.mutable_claim_batch()->add_claims()->set_key("k");
    return record.SerializeAsString();
  }

  std::string MakeQuarantine()
  {
    schema::LogRecord record;
    record.set_id(MakeId());
    auto& change = *record.mutable_quarantine_change();
    auto text = std::to_string(PickBelow(6));
    change.set_request_digest(utils::Digest::Of(text).ToHex());
    change.set_lift(PickBelow(3) == 0);
    return record.SerializeAsString();
  }

  // Half of the snapshots are swapped with an earlier one, as if the writer had
  // been paused before the append; some have a state that differs from their
  // digest.
  std::string MakeSnapshotRecord()
  {
    schema::LogRecord record;
    record.set_id(MakeId());
    *record.mutable_snapshot() = fold_.MakeSnapshot();
    if (PickBelow(8) == 0) {
      record.mutable_snapshot()->mutable_state()->add_recent_ids("false");
    }
    auto text = record.SerializeAsString();
    if (PickBelow(2) == 0) {
      std::swap(text, delayedRecord_);
    }
    return text.empty() ? MakeRandomChange() : text;
  }

  std::string MakeRandomChange()
  {
    auto name = "p" + std::to_string(PickBelow(5));
    auto profile = MakeProfile(name, "g" + std::to_string(PickBelow(6)));
    if (PickBelow(3) == 0) {
      profile.mutable_vms()->add_data_centres(PickBelow(2) ? "budapest-1"
                                                           : "pecs-1");
    }
    auto replaces = fold_.GetConfig()->GetRevision(name);
    if (PickBelow(4) == 0) {
      replaces = PickBelow(2) ? 0 : replaces + 1;
    }
    auto kind = PickBelow(4) == 0 ? schema::RETIRE : schema::CHANGE;
    return MakeChange(MakeId(), kind, replaces, profile);
  }

  std::mt19937_64 random_;
  Fold fold_;
  std::vector<std::string> written_;
  std::string delayedRecord_;
};

} // namespace

schema::Profile
MakeProfile(const std::string& aName, const std::string& aGroup)
{
  schema::Profile profile;
  profile.set_name(aName);
  profile.set_kind(schema::SERVICE);
  profile.mutable_vms()->set_group(aGroup);
  return profile;
}

std::string
MakeChange(const std::string& aId,
           schema::ChangeKind aKind,
           std::uint64_t aReplaces,
           const schema::Profile& aProfile,
           const std::string& aAuthor)
{
  schema::LogRecord record;
  record.set_id(aId);
  auto& change = *record.mutable_profile_change();
  change.set_kind(aKind);
  change.set_replaces_revision(aReplaces);
  change.set_author(aAuthor);
  *change.mutable_profile() = aProfile;
  return record.SerializeAsString();
}

std::vector<schema::StoredRecord>
MakeHistory(std::uint64_t aSeed, std::size_t aCount)
{
  HistoryWriter writer(aSeed);
  std::vector<schema::StoredRecord> history(aCount);
  std::uint64_t offset = 0;
  std::ranges::generate(history, [&] {
    schema::StoredRecord record;
    record.set_offset(offset);
    record.set_payload(writer.MakeNext());
    writer.AppendRecord(offset, record.payload());
    ++offset;
    return record;
  });
  return history;
}

schema::LogPage
MakePage(const std::vector<schema::StoredRecord>& aHistory,
         std::uint64_t aFirst,
         std::uint64_t aFrom,
         std::size_t aMax)
{
  schema::LogPage page;
  page.set_first_offset(aFirst);
  page.set_next_offset(aHistory.size());
  auto from = std::min<std::size_t>(std::max(aFirst, aFrom), aHistory.size());
  auto count = std::min(aMax, aHistory.size() - from);
  std::for_each_n(
    aHistory.begin() + static_cast<std::ptrdiff_t>(from),
    count,
    [&page](const auto& aRecord) { *page.add_records() = aRecord; });
  return page;
}

} // namespace waxwingyoke::profiles::tests
