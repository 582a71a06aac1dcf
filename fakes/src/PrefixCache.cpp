#include "PrefixCache.h"

#include <utility>

#include <utils/Hash.h>

namespace waxwingyoke::fakes {

namespace {

constexpr std::size_t kBlockChars = 64;

} // namespace

PrefixCache::PrefixCache(Hook aHook)
  : hook_(std::move(aHook))
{
}

PrefixCache::Lookup
PrefixCache::LookUpAndStore(std::string_view aPrompt, std::size_t aCapacity)
{
  Lookup lookup;
  std::uint64_t hash = 0;
  bool matching = true;
  for (; !aPrompt.empty();
       aPrompt.remove_prefix(std::min(kBlockChars, aPrompt.size()))) {
    // A block's hash covers all preceding blocks too.
    hash = utils::StableHash(aPrompt.substr(0, kBlockChars), hash);
    auto found = blocks_.find(hash);
    matching = matching && found != blocks_.end();
    ++(matching ? lookup.hitBlocks : lookup.missedBlocks);
    if (found != blocks_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      continue;
    }
    order_.push_front(hash);
    blocks_[hash] = order_.begin();
    hook_(true, hash);
  }
  Evict(aCapacity);
  return lookup;
}

void
PrefixCache::Evict(std::size_t aCapacity)
{
  while (order_.size() > aCapacity) {
    hook_(false, order_.back());
    blocks_.erase(order_.back());
    order_.pop_back();
  }
}

void
PrefixCache::Clear()
{
  order_.clear();
  blocks_.clear();
}

} // namespace waxwingyoke::fakes
