#ifndef waxwingyoke_requests_ShardedAttemptRegistry_h
#define waxwingyoke_requests_ShardedAttemptRegistry_h

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include <utils/Time.h>

#include "AttemptRegistry.h"

namespace waxwingyoke::requests {

/** Thread-safe AttemptRegistry, sharded by the hash of the attempt's id. */
class ShardedAttemptRegistry
{
public:
  explicit ShardedAttemptRegistry(AttemptLimits aLimits = {})
  {
    for (auto& shard : shards_) {
      shard = std::make_unique<Shard>(aLimits);
    }
  }

  /**
   * Calls aAction with the registry that holds the id and the current time,
   * under the shard's mutex. aAction must not suspend the fiber.
   */
  template<typename Action>
  auto With(const std::string& aId, Action aAction)
  {
    auto& shard = *shards_[std::hash<std::string>()(aId) % kShards];
    std::scoped_lock lock(shard.mutex);
    return aAction(shard.registry, clock_.Now());
  }

private:
  static constexpr std::size_t kShards = 8;

  struct Shard
  {
    explicit Shard(const AttemptLimits& aLimits)
      : registry(aLimits)
    {
    }
    std::mutex mutex;
    AttemptRegistry registry;
  };

  utils::Clock clock_;
  std::array<std::unique_ptr<Shard>, kShards> shards_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_ShardedAttemptRegistry_h
