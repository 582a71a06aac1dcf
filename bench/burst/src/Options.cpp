#include "Options.h"

namespace waxwingyoke::burst {

std::uint64_t
Options::GetOriginRate() const
{
  constexpr std::uint64_t kOriginRateLinks = 4;
  return originBytesPerSecond != 0 ? originBytesPerSecond
                                   : linkBytesPerSecond * kOriginRateLinks;
}

utils::Millis
Options::GetTimeBound() const
{
  constexpr double kMillisPerSecond = 1000;
  auto count = static_cast<double>(vms);
  auto relayedCopies = count - static_cast<double>(regions);
  auto copies = 1 + relayedCopies / count;
  return utils::Millis(static_cast<std::int64_t>(
    copies * static_cast<double>(bytes) /
    static_cast<double>(linkBytesPerSecond) * kMillisPerSecond));
}

} // namespace waxwingyoke::burst
