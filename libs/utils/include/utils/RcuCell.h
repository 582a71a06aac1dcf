#ifndef waxwingyoke_utils_RcuCell_h
#define waxwingyoke_utils_RcuCell_h

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace waxwingyoke::utils {

/**
 * An immutable value that is replaced as a whole while many threads read it.
 *
 * Each thread caches the value that it last read, so Get takes a lock only if
 * the value was replaced since then. A replaced value is freed when its last
 * reference is dropped, so a reader may hold one across a suspension of its
 * fiber. The caches are never pruned: a cell is meant to live as long as the
 * process's threads.
 *
 *     RcuCell<View> view;
 *     view.Set(std::make_shared<const View>(...));
 *     std::shared_ptr<const View> now = view.Get();
 */
template<typename Value>
class RcuCell
{
public:
  using Pointer = std::shared_ptr<const Value>;

  explicit RcuCell(Pointer aValue = std::make_shared<const Value>())
    : value_(std::move(aValue))
  {
  }

  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  Pointer Get() const
  {
    thread_local std::unordered_map<std::uint64_t, CachedValue> tCache;
    auto& cached = tCache[id_];
    auto version = version_.load(std::memory_order_acquire);
    if (cached.version != version) {
      std::scoped_lock lock(mutex_);
      cached.version = version_.load(std::memory_order_relaxed);
      cached.value = value_;
    }
    return cached.value;
  }

  void Set(Pointer aValue)
  {
    std::scoped_lock lock(mutex_);
    value_ = std::move(aValue);
    version_.fetch_add(1, std::memory_order_release);
  }

private:
  struct CachedValue
  {
    std::uint64_t version = 0;
    Pointer value;
  };

  // Ids are never reused, so that a thread's cached value of a destroyed cell
  // cannot be returned for another cell.
  static std::uint64_t MakeId()
  {
    static std::atomic<std::uint64_t> sNext{ 1 };
    return sNext.fetch_add(1, std::memory_order_relaxed);
  }

  const std::uint64_t id_ = MakeId();
  mutable std::mutex mutex_;
  Pointer value_;
  std::atomic<std::uint64_t> version_{ 1 };
};

} // namespace waxwingyoke::utils

#endif // waxwingyoke_utils_RcuCell_h
