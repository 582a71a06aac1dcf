#ifndef waxwingyoke_net_RuntimeImpl_h
#define waxwingyoke_net_RuntimeImpl_h

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <net/Runtime.h>

namespace waxwingyoke::net {

/** One thread's loop. */
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

  /** Makes the calling thread the one of that loop. */
  void EnterLoop(std::size_t aIndex);
  void WaitForStop();
  Loop& PickLoop();
};

/** The loop of the calling thread. */
boost::asio::io_context&
GetThreadIo();

/** Starts a fiber on the thread of aIo, from any thread. */
void
SpawnOn(boost::asio::io_context& aIo, std::function<void()> aFiber);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_RuntimeImpl_h
