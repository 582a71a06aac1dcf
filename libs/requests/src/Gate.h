#ifndef waxwingyoke_requests_Gate_h
#define waxwingyoke_requests_Gate_h

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

#include "Admission.h"

namespace waxwingyoke::requests {

/** What a side tells of its load with each answer. */
struct GateLoad
{
  std::size_t running = 0;
  std::size_t slots = 0;
  utils::Millis wait;
};

/** Lets fibers wait for what Admission decides. */
class Gate
{
public:
  Gate(std::size_t aSlots, std::size_t aQueue);

  /**
   * Waits for a slot until the applicant's deadline; sets its ticket.
   * Leaving, StaleRevision (paused), Overloaded or DeadlineExceeded if none
   * is had; none of these has run.
   */
  bool Enter(Applicant& aApplicant,
             const std::function<bool()>& aIsCancelled,
             utils::Error& aReason);

  void Leave(std::uint64_t aTicket);

  void Pause();
  void Resume();
  /** Refuses all that comes from now on and lets the waiting ones run. */
  void Close();
  bool IsClosed();

  /** Whether nothing runs or waits, within aTimeout. */
  bool WaitIdle(utils::Millis aTimeout);

  GateLoad GetLoad();

private:
  struct Waiter
  {
    boost::fibers::condition_variable changed;
    bool admitted = false;
    bool refused = false;
  };

  bool RefuseClosed(utils::Error& aReason) const;
  bool Wait(std::unique_lock<boost::fibers::mutex>& aLock,
            const Applicant& aApplicant,
            const std::function<bool()>& aIsCancelled,
            utils::Error& aReason);
  void Shed(std::uint64_t aTicket);
  void WakeNext();

  utils::Clock clock_;
  boost::fibers::mutex mutex_;
  Admission admission_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;
  std::uint64_t nextTicket_ = 1;
  bool paused_ = false;
  bool closed_ = false;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Gate_h
