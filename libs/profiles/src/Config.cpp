#include <profiles/Config.h>

#include <algorithm>

namespace waxwingyoke::profiles {

const schema::Profile*
Config::FindProfile(const std::string& aName) const
{
  auto found = profiles.find(aName);
  return found == profiles.end() ? nullptr : &found->second;
}

std::uint64_t
Config::GetRevision(const std::string& aName) const
{
  if (const auto* profile = FindProfile(aName)) {
    return profile->revision();
  }
  auto found = retired.find(aName);
  return found == retired.end() ? 0 : found->second.revision();
}

const schema::Profile*
Config::FindProfileOf(const schema::Vm& aVm) const
{
  auto found = std::ranges::find_if(profiles, [&aVm](const auto& aEntry) {
    return Selects(aEntry.second, aVm);
  });
  return found == profiles.end() ? nullptr : &found->second;
}

bool
Selects(const schema::Profile& aProfile, const schema::Vm& aVm)
{
  const auto& selector = aProfile.vms();
  if (selector.group().empty() || selector.group() != aVm.group()) {
    return false;
  }
  const auto& dataCentres = selector.data_centres();
  return dataCentres.empty() ||
         std::ranges::find(dataCentres, aVm.data_centre()) != dataCentres.end();
}

bool
Overlap(const schema::VmSelector& aLeft, const schema::VmSelector& aRight)
{
  if (aLeft.group() != aRight.group()) {
    return false;
  }
  if (aLeft.data_centres().empty() || aRight.data_centres().empty()) {
    return true;
  }
  return std::ranges::find_first_of(aLeft.data_centres(),
                                    aRight.data_centres()) !=
         aLeft.data_centres().end();
}

} // namespace waxwingyoke::profiles
