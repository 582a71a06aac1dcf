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

  /** Null where there is none with that name. */
  const schema::Profile* FindProfile(const std::string& aName) const;

  /** The one profile that selects this VM; null where none does. */
  const schema::Profile* FindProfileOf(const schema::Vm& aVm) const;
};

/** Whether the profile's selector takes that VM. */
bool
Selects(const schema::Profile& aProfile, const schema::Vm& aVm);

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Config_h
