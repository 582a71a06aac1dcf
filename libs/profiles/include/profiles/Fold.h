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

/** The outcome of folding one record. */
enum class FoldOutcome
{
  Accepted,
  /** A record with this id was folded before; the state is unchanged. */
  Repeated,
  /** It replaces a revision other than the profile's current one. */
  Conflict,
  /** Another live profile could select the same VMs. */
  Overlap,
  /** It fails ValidateChange or would exceed a bound on the state. */
  Invalid,
  /** A kind of record that this release does not support. */
  Unknown,
  /** It does not parse, or its id is empty or too long. */
  Broken,
  /** It exceeds the size limit of its kind. */
  TooLarge,
  /** A snapshot; it doesn't change a state folded up to its offset. */
  Snapshot,
  /** Its offset was folded before. */
  Old,
  Count
};

/** Returns the outcome's name for operators, such as "too_large". */
std::string_view
GetName(FoldOutcome aOutcome);

/** The result of folding one record. */
struct FoldResult
{
  FoldOutcome outcome = FoldOutcome::Old;
  /** The record's id; empty if the record does not parse. */
  std::string id;
  /**
   * The revision that the record created; for Conflict and Overlap, the
   * existing revision that caused the refusal.
   */
  std::uint64_t revision = 0;
  /** The author of that revision. */
  std::string author;
  /**
   * The profile that the record changes; for Overlap, the profile that it
   * overlaps with.
   */
  std::string profile;
};

/**
 * Folds records of the config stream, in the order of their offsets, into the
 * configuration in force. The state is a function of the records alone, so
 * that all nodes agree: no clock or setting has an influence. Not thread-safe.
 */
class Fold
{
public:
  /** The format number that this release writes into its snapshots. */
  static constexpr std::uint32_t kFormat = 1;

  /** Starts with the empty state at offset 0. */
  Fold() = default;

  /** Starts from a state received from a snapshot or another node. */
  Fold(std::uint64_t aNextOffset, const schema::ConfigState& aState);

  /** Folds one record. Offsets below GetNextOffset are ignored (Old). */
  FoldResult Apply(std::uint64_t aOffset, std::string_view aPayload);

  /** Returns a copy of the configuration that readers may keep. */
  std::shared_ptr<const Config> GetConfig() const;

  /** The first offset that has not been folded. */
  std::uint64_t GetNextOffset() const { return config_.nextOffset; }

  /** Returns the complete state in canonical order. */
  schema::ConfigState GetState() const;

  /** Returns the SHA-256 of a state's canonical serialisation. */
  static utils::Digest GetDigest(const schema::ConfigState& aState);

  /** Returns the body of a snapshot record of the current state. */
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
  void AddRecentId(const std::string& aId);

  Config config_;
  std::map<std::string, schema::QuarantineEntry> quarantine_;
  std::deque<std::string> recentIds_;
  std::unordered_set<std::string> recentIdSet_;
};

/**
 * Returns the snapshot in a serialised record. Empty if the record is not a
 * snapshot, does not parse, is too large or does not match its digest.
 */
std::optional<schema::Snapshot>
ReadSnapshot(std::string_view aPayload);

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Fold_h
