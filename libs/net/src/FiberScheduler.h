#ifndef waxwingyoke_net_FiberScheduler_h
#define waxwingyoke_net_FiberScheduler_h

#include <atomic>
#include <chrono>
#include <cstddef>

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace waxwingyoke::net {

/**
 * Runs the fibers of one thread in FIFO order and polls its sockets between
 * them.
 *
 * Socket handlers run only in the dispatcher's context: pick_next is also
 * called by a fiber that suspends while it holds a wait queue's lock, and a
 * handler that resumes a fiber of that queue would deadlock on the lock.
 */
class FiberScheduler : public boost::fibers::algo::algorithm
{
public:
  explicit FiberScheduler(boost::asio::io_context& aIo);

  void awakened(boost::fibers::context* aContext) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
    const std::chrono::steady_clock::time_point& aTime) noexcept override;
  void notify() noexcept override;

private:
  boost::asio::io_context& io_;
  boost::fibers::scheduler::ready_queue_type ready_;
  std::atomic<bool> notified_{ false };
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_FiberScheduler_h
