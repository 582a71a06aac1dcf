#ifndef waxwingyoke_fleet_NamedVersions_h
#define waxwingyoke_fleet_NamedVersions_h

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <schema/fleet.pb.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/**
 * A version of a model's weights that the operator named, and what is known of
 * when: after absentAt and not after observedAt. Times are on the clock of the
 * process that holds it.
 */
struct NamedVersion
{
  std::uint64_t version = 0;
  /** The earliest time at which a process is known to have observed it. */
  utils::Millis observedAt;
  /**
   * The latest time at which the topic is known to have lacked it; empty if it
   * was there in the first read.
   */
  std::optional<utils::Millis> absentAt;
  /**
   * The last failed read of an outage of the log that ended in the read that
   * found it; empty if there was none.
   */
  std::optional<utils::Millis> outageAt;

  /**
   * From when the limit of the versions before it counts; empty if it may have
   * been named any time ago.
   */
  std::optional<utils::Millis> GetLimitStart() const;
};

/** The versions that the operator named, by model. */
class NamedVersions
{
public:
  /**
   * Adds a version; false if it is held already. One that is older than others
   * limits the versions before it.
   */
  bool Add(const std::string& aModel, const NamedVersion& aNamed);

  /**
   * Narrows the time in which a version was named by another process's report;
   * false if the version is not held.
   */
  bool Narrow(const std::string& aModel, const NamedVersion& aReported);

  /** The newest version of a model; empty if none is named. */
  std::optional<NamedVersion> Find(const std::string& aModel) const;

  /** Whether a version is newer than all that are held of the model. */
  bool IsNewer(const std::string& aModel, std::uint64_t aVersion) const;

  /** The first version after aAfter. */
  std::optional<NamedVersion> FindNext(const std::string& aModel,
                                       std::uint64_t aAfter) const;

  /**
   * The newest version whose limit for older ones began at least aAge ago; 0 if
   * there is none.
   */
  std::uint64_t FindOfAge(const std::string& aModel,
                          utils::Millis aAge,
                          utils::Millis aNow) const;

  /** Writes all versions into a record for another process. */
  void Fill(schema::OperatorRecord& aRecord, utils::Millis aNow) const;

private:
  /** In ascending order. */
  std::map<std::string, std::vector<NamedVersion>> versions_;
};

/**
 * Reads a row that another process filled at an unknown time within the last
 * aDelay.
 */
NamedVersion
ReadNamedVersion(const schema::NamedVersionRecord& aRow,
                 utils::Millis aDelay,
                 utils::Millis aNow);

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_NamedVersions_h
