#ifndef waxwingyoke_net_RuntimeImpl_h
#define waxwingyoke_net_RuntimeImpl_h

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <net/Runtime.h>

namespace waxwingyoke::net {

/** The event loop of one thread. */
struct Loop
{
  boost::asio::io_context io{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work = boost::asio::make_work_guard(io);
};

struct Runtime::Impl
{
  std::vector<std::unique_ptr<Loop>> loops;
  std::vector<std::thread> threads;
  std::atomic<std::size_t> next{ 0 };
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable stopped;
  bool stop = false;
  /** Created by the first wait, and kept: without it a signal ends the process.
   */
  std::unique_ptr<boost::asio::signal_set> signals;

  /** Binds the loop with that index to the calling thread. */
  void EnterLoop(std::size_t aIndex);
  void WaitForStop();
  /** The next loop in round-robin order. */
  Loop& PickLoop();
};

/** The I/O context of the calling thread's loop. */
boost::asio::io_context&
GetThreadIo();

/** Starts a fiber on the thread of aIo, from any thread. */
void
SpawnOn(boost::asio::io_context& aIo, std::function<void()> aFiber);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_RuntimeImpl_h
