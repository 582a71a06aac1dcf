#ifndef waxwingyoke_requests_AdmissionGate_h
#define waxwingyoke_requests_AdmissionGate_h

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <utils/Error.h>
#include <utils/Time.h>

#include "AdmissionController.h"

namespace waxwingyoke::requests {

/** Load of a side, reported to the entry in each AnswerEnd. */
struct AdmissionLoad
{
  std::size_t running = 0;
  std::size_t slots = 0;
  /** Estimated waiting time of a new request of the highest priority. */
  utils::Millis wait;
};

/**
 * Blocks the calling fiber until AdmissionController assigns its request a
 * slot. Safe to use from fibers of all threads.
 */
class AdmissionGate
{
public:
  AdmissionGate(std::size_t aSlots, std::size_t aMaxWaiting);

  /**
   * Waits for a slot until the request's deadline and sets its ticket. On
   * false the request has not run, and aReason is Leaving (closed),
   * StaleRevision (paused) or Overloaded. aIsCancelled is polled while it
   * waits and ends the wait with Overloaded.
   */
  bool Acquire(SlotRequest& aRequest,
               const std::function<bool()>& aIsCancelled,
               utils::Error& aReason);

  /** Frees the slot that Acquire assigned. */
  void Release(std::uint64_t aTicket);

  /** Refuses new and waiting requests until Resume; running ones go on. */
  void Pause();
  void Resume();
  /** Refuses new requests for good; waiting ones still get their slots. */
  void Close();
  bool IsClosed();

  /** Waits up to aTimeout; true once no request runs or waits. */
  bool WaitIdle(utils::Millis aTimeout);

  AdmissionLoad GetLoad();

private:
  struct Waiter
  {
    boost::fibers::condition_variable changed;
    bool admitted = false;
    bool refused = false;
  };

  /** True, with the reason, while the gate is closed or paused. */
  bool RefuseClosed(utils::Error& aReason) const;
  bool Wait(std::unique_lock<boost::fibers::mutex>& aLock,
            const SlotRequest& aRequest,
            const std::function<bool()>& aIsCancelled,
            utils::Error& aReason);
  /** Marks a waiting request as refused and notifies its fiber. */
  void Shed(std::uint64_t aTicket);
  /** Sheds infeasible requests and assigns the free slots. */
  void AdmitWaiting();

  utils::Clock clock_;
  boost::fibers::mutex mutex_;
  AdmissionController admission_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;
  std::uint64_t nextTicket_ = 1;
  bool paused_ = false;
  bool closed_ = false;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_AdmissionGate_h
