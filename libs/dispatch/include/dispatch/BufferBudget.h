#ifndef waxwingyoke_dispatch_BufferBudget_h
#define waxwingyoke_dispatch_BufferBudget_h

#include <cstddef>
#include <functional>
#include <set>

namespace waxwingyoke::dispatch {

class BufferShare;

/**
 * Bounds the memory of all answers that are buffered at the same time. While it
 * is exceeded, the largest share gives way: an upstream may send bytes without
 * end, and the answers of sound ones are small. Not thread-safe.
 */
class BufferBudget
{
public:
  /** Shares of up to this many bytes never give way. */
  static constexpr std::size_t kSmallBytes = 16 * 1024;

  explicit BufferBudget(std::size_t aBytes)
    : limit_(aBytes)
  {
  }

  /** The bytes that all shares hold. */
  std::size_t GetUsed() const { return used_; }
  std::size_t GetLimit() const { return limit_; }

private:
  friend class BufferShare;

  void Enforce();

  std::size_t limit_;
  std::size_t used_ = 0;
  std::set<BufferShare*> shares_;
};

/** What one buffer holds of a budget, until it is destroyed. */
class BufferShare
{
public:
  /**
   * aOnDrop is called when the share gives way, and has to free the buffer. It
   * must neither suspend nor destroy a share.
   */
  BufferShare(BufferBudget& aBudget, std::function<void()> aOnDrop);
  ~BufferShare();
  BufferShare(const BufferShare&) = delete;
  BufferShare& operator=(const BufferShare&) = delete;

  /**
   * Sets the buffer's size. False if this share has given way, now or before:
   * it holds nothing from then on.
   */
  bool Resize(std::size_t aBytes);

  /** From now on the share does not give way: the answer is complete. */
  void Pin() { isPinned_ = true; }

  bool IsDropped() const { return isDropped_; }

private:
  friend class BufferBudget;

  BufferBudget& budget_;
  std::function<void()> onDrop_;
  std::size_t bytes_ = 0;
  bool isPinned_ = false;
  bool isDropped_ = false;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_BufferBudget_h
