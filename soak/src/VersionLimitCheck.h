#ifndef waxwingyoke_soak_VersionLimitCheck_h
#define waxwingyoke_soak_VersionLimitCheck_h

#include <optional>
#include <string>
#include <vector>

#include <FakePlatform.h>
#include <utils/Time.h>

namespace waxwingyoke::soak {

/** A time during which an entry was suspended, ended or starting. */
struct EntryDisturbance
{
  std::size_t entry = 0;
  utils::Millis begin;
  utils::Millis end;
  bool isSuspension = false;
};

/** An engine's records. */
struct EngineRecords
{
  std::string id;
  const std::vector<adapter::WorkStart>& starts;
  const std::vector<adapter::VersionLoad>& loads;
};

/**
 * Checks that no request starts on a version later than the bound after the
 * next one was named. The bound counts within one stretch of time in which the
 * log and all links were sound, and applies to entries that were running
 * undisturbed for kStable.
 */
class VersionLimitCheck
{
public:
  static constexpr utils::Millis kStable{ 3000 };

  /** Records that the log has acknowledged the next version. */
  void RecordNaming(std::uint64_t aVersion, utils::Millis aNow);
  /** Records when the log or a link was not sound. */
  void RecordDisruption(utils::Millis aBegin, utils::Millis aEnd);
  void RecordDisturbance(const EntryDisturbance& aDisturbance);

  /** Whether the start violates the limit; its request was sent by aEntry. */
  bool IsTooLate(const adapter::WorkStart& aStart, std::size_t aEntry) const;

  /** Whether the entry ran undisturbed for kStable before aTime. */
  bool IsStable(std::size_t aEntry, utils::Millis aTime) const;

  /** Whether the entry ran undisturbed from aFrom to aTo. */
  bool IsUndisturbed(std::size_t aEntry,
                     utils::Millis aFrom,
                     utils::Millis aTo) const;

  /** The violation's text. */
  std::string Describe(const adapter::WorkStart& aStart,
                       std::size_t aEntry,
                       const std::string& aEngine) const;

  /**
   * Number of namings during an entry's suspension that were followed by the
   * complete bound without a disruption, at the end of which an engine still
   * held an older version.
   */
  int CountExposedNamings(const std::vector<EngineRecords>& aEngines) const;

private:
  struct Naming
  {
    std::uint64_t version;
    utils::Millis at;
  };
  struct Disruption
  {
    utils::Millis begin;
    utils::Millis end;
  };

  const Naming* FindNext(std::uint64_t aVersion) const;
  /** Since when the log and all links are sound; empty if they are not. */
  std::optional<utils::Millis> FindSoundSince(utils::Millis aTime) const;
  bool IsExposed(const Naming& aNaming,
                 const std::vector<EngineRecords>& aEngines) const;

  /** In ascending order. */
  std::vector<Naming> namings_;
  std::vector<Disruption> disruptions_;
  std::vector<EntryDisturbance> disturbances_;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_VersionLimitCheck_h
