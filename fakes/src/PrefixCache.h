#ifndef waxwingyoke_fakes_PrefixCache_h
#define waxwingyoke_fakes_PrefixCache_h

#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <unordered_map>

namespace waxwingyoke::fakes {

/** Simulated prefix cache of an engine: an LRU set of prompt blocks. */
class PrefixCache
{
public:
  /** Called for each block that is stored or evicted. */
  using Hook = std::function<void(bool aStored, std::uint64_t aBlock)>;

  /** Numbers of a prompt's blocks that were and weren't cached. */
  struct Lookup
  {
    std::size_t hitBlocks = 0;
    std::size_t missedBlocks = 0;
  };

  explicit PrefixCache(Hook aHook);

  /** Looks up a prompt's blocks, stores those missing and evicts down to
   * aCapacity blocks. */
  Lookup LookUpAndStore(std::string_view aPrompt, std::size_t aCapacity);

  void Clear();

private:
  using Order = std::list<std::uint64_t>;

  void Evict(std::size_t aCapacity);

  Hook hook_;
  // Most recently used first.
  Order order_;
  std::unordered_map<std::uint64_t, Order::iterator> blocks_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_PrefixCache_h
