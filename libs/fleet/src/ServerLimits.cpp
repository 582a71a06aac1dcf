#include "ServerLimits.h"

#include <algorithm>

#include <net/Runtime.h>

namespace waxwingyoke::fleet {

namespace {

// Share of the process's memory that requests may hold. Answers have as much.
constexpr std::uint64_t kMemoryDivisor = 4;
// Where the settings don't state the memory.
constexpr std::size_t kDefaultMemory = 64 << 20;
// Descriptors for files, and for connections to the log and to peers.
constexpr std::uint64_t kOtherDescriptors = 200;
constexpr std::uint64_t kDescriptorsPerCaller = 2;
// Where the system states hardly any descriptors, or more than any VM needs.
constexpr std::uint64_t kMinConnections = 64;
constexpr std::uint64_t kMaxConnections = 20000;

} // namespace

std::shared_ptr<net::RequestMemory>
MakeRequestMemory(const platform::FleetSettings& aSettings)
{
  auto bytes =
    aSettings.memoryBytes == 0
      ? kDefaultMemory
      : static_cast<std::size_t>(aSettings.memoryBytes / kMemoryDivisor);
  return std::make_shared<net::RequestMemory>(bytes);
}

std::size_t
GetMaxCallerConnections(const platform::FleetSettings& aSettings)
{
  std::uint64_t limit = net::Runtime::GetDescriptorLimit();
  if (aSettings.descriptors > 0) {
    limit = std::min(limit, aSettings.descriptors);
  }
  auto left = limit - std::min(limit, kOtherDescriptors);
  return static_cast<std::size_t>(
    std::clamp(left / kDescriptorsPerCaller, kMinConnections, kMaxConnections));
}

} // namespace waxwingyoke::fleet
