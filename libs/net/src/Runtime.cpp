#include <net/Runtime.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <limits>
#include <mutex>
#include <utility>

#include <sys/resource.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <boost/fiber/operations.hpp>

#include <telemetry/Logger.h>

#include "Await.h"
#include "FiberScheduler.h"
#include "RuntimeImpl.h"

namespace waxwingyoke::net {

namespace {

// Large enough for a parser of nested JSON on top of the socket layers.
constexpr std::size_t kStackBytes = 256 * 1024;

thread_local std::size_t tThreadIndex = 0;
thread_local boost::asio::io_context* tIo = nullptr;

// Each connection uses a descriptor, and the soft limit is often far below
// the hard limit.
void
RaiseDescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

} // namespace

FiberScheduler::FiberScheduler(boost::asio::io_context& aIo)
  : io_(aIo)
{
}

void
FiberScheduler::awakened(boost::fibers::context* aContext) noexcept
{
  aContext->ready_link(ready_);
}

boost::fibers::context*
FiberScheduler::pick_next() noexcept
{
  auto* active = boost::fibers::context::active();
  if (active->is_context(boost::fibers::type::dispatcher_context)) {
    io_.poll();
  }
  if (ready_.empty()) {
    return nullptr;
  }
  auto* next = &ready_.front();
  ready_.pop_front();
  return next;
}

bool
FiberScheduler::has_ready_fibers() const noexcept
{
  return !ready_.empty();
}

void
FiberScheduler::suspend_until(
  const std::chrono::steady_clock::time_point& aTime) noexcept
{
  // The handler posted by notify may have run in pick_next already, after the
  // dispatcher checked for fibers that other threads made ready. Without this
  // check the loop would block while such fibers are ready.
  if (notified_.exchange(false)) {
    return;
  }
  if (aTime == std::chrono::steady_clock::time_point::max()) {
    io_.run_one();
  } else {
    io_.run_one_until(aTime);
  }
}

void
FiberScheduler::notify() noexcept
{
  notified_ = true;
  boost::asio::post(io_, [] {});
}

boost::asio::io_context&
GetThreadIo()
{
  return *tIo;
}

void
SpawnOn(boost::asio::io_context& aIo, std::function<void()> aFiber)
{
  boost::asio::post(aIo, [fiber = std::move(aFiber)]() mutable {
    Runtime::SpawnHere(std::move(fiber));
  });
}

void
Runtime::Impl::EnterLoop(std::size_t aIndex)
{
  tThreadIndex = aIndex;
  tIo = &loops[aIndex]->io;
  boost::fibers::use_scheduling_algorithm<FiberScheduler>(*tIo);
}

void
Runtime::Impl::WaitForStop()
{
  std::unique_lock lock(mutex);
  stopped.wait(lock, [this] { return stop; });
}

Loop&
Runtime::Impl::PickLoop()
{
  return *loops[next.fetch_add(1, std::memory_order_relaxed) % loops.size()];
}

Runtime::Runtime(std::size_t aThreads)
  : impl_(std::make_unique<Impl>())
{
  // Makes a write to a closed connection return an error instead of raising
  // a signal.
  std::signal(SIGPIPE, SIG_IGN);
  RaiseDescriptorLimit();
  impl_->loops.resize(std::max<std::size_t>(aThreads, 1));
  std::ranges::generate(impl_->loops, [] { return std::make_unique<Loop>(); });
}

Runtime::~Runtime()
{
  std::ranges::for_each(impl_->threads,
                        [](std::thread& aThread) { aThread.join(); });
}

int
Runtime::Run(std::function<int()> aMain)
{
  for (std::size_t i = 1; i < impl_->loops.size(); ++i) {
    impl_->threads.emplace_back([this, i] {
      impl_->EnterLoop(i);
      impl_->WaitForStop();
    });
  }
  int result = 0;
  // The first loop has a thread of its own as well: a thread's scheduler can
  // be set only once, and a test program creates several runtimes.
  impl_->threads.emplace_back([this, &result, &aMain] {
    impl_->EnterLoop(0);
    result = aMain();
    std::scoped_lock lock(impl_->mutex);
    impl_->stop = true;
    impl_->stopped.notify_all();
  });
  std::ranges::for_each(impl_->threads,
                        [](std::thread& aThread) { aThread.join(); });
  impl_->threads.clear();
  return result;
}

void
Runtime::Spawn(std::function<void()> aFiber)
{
  SpawnOn(impl_->PickLoop().io, std::move(aFiber));
}

void
Runtime::SpawnHere(std::function<void()> aFiber)
{
  boost::fibers::fiber(boost::fibers::launch::post,
                       std::allocator_arg,
                       boost::fibers::fixedsize_stack(kStackBytes),
                       std::move(aFiber))
    .detach();
}

int
Runtime::WaitForSignal()
{
  auto& signals = impl_->signals;
  if (!signals) {
    signals = std::make_unique<boost::asio::signal_set>(
      GetThreadIo(), SIGTERM, SIGINT, SIGHUP);
  }
  int number = 0;
  Await([&](auto aHandler) {
    signals->async_wait([&number, aHandler](auto aError, int aNumber) mutable {
      number = aNumber;
      aHandler(aError);
    });
  });
  return number;
}

std::size_t
Runtime::GetThreadCount() const
{
  return impl_->loops.size();
}

std::size_t
Runtime::GetThreadIndex()
{
  return tThreadIndex;
}

std::uint64_t
Runtime::GetDescriptorLimit()
{
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0
           ? limit.rlim_cur
           : std::numeric_limits<std::uint64_t>::max();
}

void
Runtime::Sleep(utils::Millis aTime)
{
  boost::this_fiber::sleep_for(aTime.ToChrono());
}

void
ExitProcess(int aCode)
{
  telemetry::StopLogging();
  std::_Exit(aCode);
}

} // namespace waxwingyoke::net
