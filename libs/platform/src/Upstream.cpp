#include <platform/Upstream.h>

#include <algorithm>

namespace waxwingyoke::platform {

std::uint64_t
FindCompleteVersion(const std::vector<HeldLayers>& aHeld,
                    std::string_view aModel,
                    std::uint32_t aLayers)
{
  auto found = std::ranges::find_if(aHeld, [&](const HeldLayers& aPart) {
    return aPart.model == aModel && aPart.first == 0 && aPart.end >= aLayers;
  });
  return found == aHeld.end() ? 0 : found->version;
}

std::uint64_t
Upstream::FindCompleteVersion(std::string_view aModel,
                              std::uint32_t aLayers) const
{
  return platform::FindCompleteVersion(held, aModel, aLayers);
}

} // namespace waxwingyoke::platform
