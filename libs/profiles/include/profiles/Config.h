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
 * The configuration that results from folding the config stream up to one
 * offset. Immutable once it has been published to readers, and identical on
 * every node that folded to the same offset.
 */
struct Config
{
  /** The first offset that this configuration does not include. */
  std::uint64_t nextOffset = 0;
  /** The live profiles, by name. */
  std::map<std::string, schema::Profile> profiles;
  /** Digests of quarantined requests, which are refused (hex). */
  std::set<std::string> quarantine;
  /** Retired profiles, by name. */
  std::map<std::string, schema::RetiredProfile> retired;

  /** Returns the live profile of that name, or null if there is none. */
  const schema::Profile* FindProfile(const std::string& aName) const;

  /**
   * Returns the revision that the next change of the profile must replace:
   * the profile's own, or that of its retirement; 0 if the name has neither.
   */
  std::uint64_t GetRevision(const std::string& aName) const;

  /** Returns the profile whose selector matches the VM; null if none does. */
  const schema::Profile* FindProfileOf(const schema::Vm& aVm) const;
};

/** Returns whether the profile's selector matches the VM. */
bool
Selects(const schema::Profile& aProfile, const schema::Vm& aVm);

/** Returns whether one VM could match both selectors. */
bool
Overlap(const schema::VmSelector& aLeft, const schema::VmSelector& aRight);

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Config_h
