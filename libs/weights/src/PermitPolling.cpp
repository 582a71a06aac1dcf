#include "PermitPolling.h"

#include <algorithm>

namespace waxwingyoke::weights {

namespace {

constexpr utils::Millis kFirstPause(300);
// Below kOrphanedPermitLifetime, after which a permit of a process that no
// longer exists is released.
constexpr utils::Millis kLongestPause(3000);

} // namespace

utils::Millis
GetPollPause(const std::vector<Permit>& aPermits,
             std::uint64_t aOffset,
             std::uint32_t aLimit)
{
  auto before = std::ranges::count_if(aPermits, [aOffset](const auto& aPermit) {
    return aPermit.offset < aOffset;
  });
  auto groups = before / std::max<std::int64_t>(1, aLimit);
  return std::min(kFirstPause * (1 + groups), kLongestPause);
}

} // namespace waxwingyoke::weights
