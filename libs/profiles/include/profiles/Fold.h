#ifndef waxwingyoke_profiles_Fold_h
#define waxwingyoke_profiles_Fold_h

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include <profiles/Config.h>
#include <utils/Digest.h>

namespace waxwingyoke::profiles {

/** What the fold made of one record. */
enum class FoldOutcome
{
  Accepted,
  /** Its id was folded before: nothing happens. */
  Repeated,
  /** It replaces a revision that is not the profile's. */
  Conflict,
  /** Another live profile may select the same VMs. */
  Overlap,
  /** It breaks a rule of ValidateChange or a bound on the state. */
  Invalid,
  /** A kind of record that this release does not know. */
  Unknown,
  /** It does not parse. */
  Broken,
  TooLarge,
  /** A snapshot: it changes nothing for those who have folded so far. */
  Snapshot,
  /** Its offset was folded before. */
  Old,
  Count
};

std::string_view
GetName(FoldOutcome aOutcome);

struct FoldResult
{
  FoldOutcome outcome = FoldOutcome::Old;
  /** The record's id, where it parses. */
  std::string id;
  /** The revision made; at Conflict or Overlap the one in the way. */
  std::uint64_t revision = 0;
  /** Whose change that revision is. */
  std::string author;
  /** The profile in the way at Conflict and Overlap. */
  std::string profile;
};

/**
 * Folds records of the config stream, in the order of their offsets, into
 * what is in force. A function of the records alone: no clock, no setting.
 */
class Fold
{
public:
  /** What a release writes into its snapshots as their format. */
  static constexpr std::uint32_t kFormat = 1;

  /** As of offset 0. */
  Fold() = default;

  /** As of a state taken over from elsewhere. */
  Fold(std::uint64_t aNextOffset, const schema::ConfigState& aState);

  FoldResult Apply(std::uint64_t aOffset, std::string_view aPayload);

  /** A copy that readers may keep. */
  std::shared_ptr<const Config> GetConfig() const;

  std::uint64_t GetNextOffset() const { return config_.nextOffset; }

  /** The whole state in its canonical order. */
  schema::ConfigState GetState() const;

  /** Digest of a state's canonical form. */
  static utils::Digest GetDigest(const schema::ConfigState& aState);

  /** A snapshot record's body as of now. */
  schema::Snapshot MakeSnapshot() const;

private:
  FoldResult ApplyRecord(std::uint64_t aOffset,
                         const schema::LogRecord& aRecord);
  void ApplyChange(const schema::ProfileChange& aChange, FoldResult& aResult);
  void ApplyQuarantine(const schema::QuarantineChange& aChange,
                       FoldResult& aResult);
  bool HasConflict(const schema::ProfileChange& aChange,
                   FoldResult& aResult) const;
  bool HasOverlap(const schema::ProfileChange& aChange,
                  FoldResult& aResult) const;
  void Retire(const schema::ProfileChange& aChange, std::uint64_t aRevision);
  void Remember(const std::string& aId);

  Config config_;
  std::map<std::string, schema::QuarantineEntry> quarantine_;
  std::deque<std::string> recentIds_;
  std::unordered_set<std::string> knownIds_;
};

/** The snapshot in a record if it is whole and its digest fits. */
std::optional<schema::Snapshot>
ReadSnapshot(std::string_view aPayload);

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Fold_h
