#ifndef waxwingyoke_profiles_Config_h
#define waxwingyoke_profiles_Config_h

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <schema/control.pb.h>
#include <schema/log.pb.h>

namespace waxwingyoke::profiles {

/**
 * What is in force as of one offset of the config stream: immutable once
 * published to readers, the same on every node that folded as far.
 */
struct Config
{
  /** The first offset that is not folded in. */
  std::uint64_t nextOffset = 0;
  std::map<std::string, schema::Profile> profiles;
  /** Digests of requests that are refused. */
  std::set<std::string> quarantine;
  /** Profiles that were retired, by name. */
  std::map<std::string, schema::RetiredProfile> retired;

  /** Null where there is none with that name. */
  const schema::Profile* FindProfile(const std::string& aName) const;

  /**
   * The revision that the next change of that profile must replace: its
   * own, or that of its retirement; 0 where there never was one.
   */
  std::uint64_t GetRevision(const std::string& aName) const;

  /** The one profile that selects this VM; null where none does. */
  const schema::Profile* FindProfileOf(const schema::Vm& aVm) const;
};

/** Whether the profile's selector takes that VM. */
bool
Selects(const schema::Profile& aProfile, const schema::Vm& aVm);

/** Whether the two selectors may take one VM. */
bool
Overlap(const schema::VmSelector& aLeft, const schema::VmSelector& aRight);

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Config_h
