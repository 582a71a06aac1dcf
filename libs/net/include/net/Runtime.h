#ifndef waxwingyoke_net_Runtime_h
#define waxwingyoke_net_Runtime_h

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <utils/Time.h>

namespace waxwingyoke::net {

/**
 * The threads of a process, each with an event loop that runs its sockets and
 * fibers.
 *
 * A fiber stays on the thread on which it was started. Data shared between
 * threads is guarded by boost::fibers::mutex or read as a copy. A program
 * has one Runtime.
 *
 *     Runtime runtime(2);
 *     return runtime.Run([&] { server.Start(); return 0; });
 */
class Runtime
{
public:
  explicit Runtime(std::size_t aThreads);
  ~Runtime();

  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  /** Runs aMain as the first fiber and returns its result when it ends. */
  int Run(std::function<int()> aMain);

  /** Starts a fiber on one of the threads, in round-robin order. */
  void Spawn(std::function<void()> aFiber);

  /** Starts a fiber on the calling fiber's thread. */
  static void SpawnHere(std::function<void()> aFiber);

  /** Waits for SIGTERM, SIGINT or SIGHUP; returns its number. */
  int WaitForSignal();

  std::size_t GetThreadCount() const;

  /** The calling thread's index, from 0; for state kept per thread. */
  static std::size_t GetThreadIndex();

  /** The most descriptors that this process may open. */
  static std::uint64_t GetDescriptorLimit();

  /** Suspends the calling fiber. */
  static void Sleep(utils::Millis aTime);

  struct Impl;
  Impl& GetImpl() { return *impl_; }

private:
  std::unique_ptr<Impl> impl_;
};

/**
 * Writes the buffered logs and exits at once, without waiting for fibers or
 * running destructors.
 */
[[noreturn]] void
ExitProcess(int aCode);

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Runtime_h
