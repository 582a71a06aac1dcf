#ifndef waxwingyoke_net_RequestMemory_h
#define waxwingyoke_net_RequestMemory_h

#include <cstddef>
#include <memory>
#include <mutex>
#include <set>

#include <utils/Time.h>

namespace waxwingyoke::net {

class RequestShare;

/**
 * Bounds the memory of all requests that the servers of a process read or serve
 * at the same time. Thread-safe. Shares keep their memory alive.
 */
class RequestMemory
{
public:
  /**
   * Requests of up to this many bytes may use half as much memory again as the
   * limit states, so that large ones don't keep them waiting.
   */
  static constexpr std::size_t kSmallBytes = 16 * 1024;
  /**
   * While memory is short, a request of which nothing has arrived for this long
   * may have to give way.
   */
  static constexpr utils::Millis kStallTime{ 500 };

  explicit RequestMemory(std::size_t aLimit)
    : limit_(aLimit)
  {
  }

  std::size_t GetUsed() const;
  std::size_t GetLimit() const { return limit_; }

private:
  friend class RequestShare;

  bool HasRoom(std::size_t aBytes, bool aIsSmall) const;
  void MakeRoom(utils::Millis aNow);

  const std::size_t limit_;
  mutable std::mutex mutex_;
  std::size_t used_ = 0;
  std::set<RequestShare*> shares_;
};

/** What one request holds of the memory, until it is destroyed. */
class RequestShare
{
public:
  /** Without a memory every size is granted. */
  RequestShare(std::shared_ptr<RequestMemory> aMemory, utils::Millis aNow);
  ~RequestShare();
  RequestShare(const RequestShare&) = delete;
  RequestShare& operator=(const RequestShare&) = delete;

  /**
   * Sets the request's size, in bytes. False, with the size unchanged, if there
   * is no room at present; a stalled request may then be made to give way.
   */
  bool Resize(std::size_t aBytes, utils::Millis aNow);

  /** Records that bytes of the request have arrived. */
  void RecordProgress(utils::Millis aNow);

  /** From now on the request does not give way: it has arrived. */
  void Pin();

  /** Whether the request has to be refused, as others need its memory. */
  bool MustGiveWay() const;

private:
  friend class RequestMemory;

  const std::shared_ptr<RequestMemory> memory_;
  // Guarded by the memory's mutex.
  std::size_t bytes_ = 0;
  utils::Millis progressAt_;
  bool isPinned_ = false;
  bool mustGiveWay_ = false;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_RequestMemory_h
