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
 * One immutable value that is replaced whole while many threads read it.
 *
 * A reader takes no lock unless the value was replaced since its thread last
 * looked: each thread keeps the version that it saw. Old values live until
 * their last reader lets go, so a reader may keep one across a suspension.
 * A cell lives as long as the process's threads.
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
    thread_local std::unordered_map<std::uint64_t, Seen> tSeen;
    auto& seen = tSeen[id_];
    auto version = version_.load(std::memory_order_acquire);
    if (seen.version != version) {
      std::scoped_lock lock(mutex_);
      seen.version = version_.load(std::memory_order_relaxed);
      seen.value = value_;
    }
    return seen.value;
  }

  void Set(Pointer aValue)
  {
    std::scoped_lock lock(mutex_);
    value_ = std::move(aValue);
    version_.fetch_add(1, std::memory_order_release);
  }

private:
  struct Seen
  {
    std::uint64_t version = 0;
    Pointer value;
  };

  // Ids are never used again, so that a thread's memory of a cell that is
  // gone can't be taken for another cell's.
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
