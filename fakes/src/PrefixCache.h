#ifndef waxwingyoke_fakes_PrefixCache_h
#define waxwingyoke_fakes_PrefixCache_h

#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <unordered_map>

namespace waxwingyoke::fakes {

/** Blocks of prompts that an engine holds, the least lately used goes first. */
class PrefixCache
{
public:
  /** Told of each block stored or evicted. */
  using Hook = std::function<void(bool aStored, std::uint64_t aBlock)>;

  /** What a prompt found. */
  struct Lookup
  {
    std::size_t hitBlocks = 0;
    std::size_t missedBlocks = 0;
  };

  explicit PrefixCache(Hook aHook);

  /** Looks a prompt's blocks up and keeps them all, within aCapacity. */
  Lookup Use(std::string_view aPrompt, std::size_t aCapacity);

  void Clear();

private:
  using Order = std::list<std::uint64_t>;

  void Evict(std::size_t aCapacity);

  Hook hook_;
  // Latest used first.
  Order order_;
  std::unordered_map<std::uint64_t, Order::iterator> blocks_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_PrefixCache_h
