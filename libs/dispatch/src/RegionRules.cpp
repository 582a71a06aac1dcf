#include <dispatch/RegionRules.h>

#include <algorithm>
#include <iterator>

namespace waxwingyoke::dispatch {

RegionSet
CombineRegions(const RegionSet& aRegions,
               const std::optional<platform::RegionList>& aList)
{
  if (!aList) {
    return aRegions;
  }
  std::set<std::string> combined;
  std::ranges::copy_if(*aList,
                       std::inserter(combined, combined.end()),
                       [&aRegions](const std::string& aRegion) {
                         return !aRegions || aRegions->contains(aRegion);
                       });
  return combined;
}

bool
IsClosed(const RegionSet& aRegions)
{
  return aRegions && aRegions->empty();
}

bool
IsAllowed(const RegionSet& aRegions, const std::string& aRegion)
{
  return !aRegions || (!aRegion.empty() && aRegions->contains(aRegion));
}

bool
Overlap(const RegionSet& aLeft, const RegionSet& aRight)
{
  return !aLeft || !aRight ||
         std::ranges::any_of(*aLeft, [&aRight](const std::string& aRegion) {
           return aRight->contains(aRegion);
         });
}

std::string
JoinRegions(const RegionSet& aRegions)
{
  std::string text;
  if (aRegions) {
    for (const auto& region : *aRegions) {
      text += (text.empty() ? "" : ",") + region;
    }
  }
  return text;
}

} // namespace waxwingyoke::dispatch
