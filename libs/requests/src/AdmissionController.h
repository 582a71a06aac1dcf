#ifndef waxwingyoke_requests_AdmissionController_h
#define waxwingyoke_requests_AdmissionController_h

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::requests {

/** A request for one of the upstream's slots. */
struct SlotRequest
{
  /** Identifies the request; a smaller ticket is older. */
  std::uint64_t ticket = 0;
  std::string organisation;
  /** 0 is the most urgent. */
  int priority = 0;
  utils::Millis deadline;
  /** Ran on an upstream that crashed; at most one suspect runs at a time. */
  bool suspect = false;
};

/** The decision on a newly submitted request. */
enum class AdmissionDecision
{
  /** It holds a slot now. */
  Run,
  /** It is queued. */
  Wait,
  /** It is not queued and must not run. */
  Refused
};

/** The result of AdmissionController::Submit. */
struct SubmitResult
{
  AdmissionDecision decision = AdmissionDecision::Refused;
  /** Ticket of a waiting request that was dropped to make room, if any. */
  std::optional<std::uint64_t> shed;
};

/**
 * Admission control for the slots of one upstream. Slots are assigned by
 * priority, then to the organisation with the fewest running requests, then to
 * the oldest request.
 *
 * A request that is not expected to finish by its deadline is refused early,
 * because it would occupy a slot without producing a usable answer. Not thread
 * safe; AdmissionGate serialises the calls.
 */
class AdmissionController
{
public:
  /** Bounds on running requests (at least 1) and on waiting requests. */
  AdmissionController(std::size_t aSlots, std::size_t aMaxWaiting);

  /**
   * Assigns a slot to the request, queues it or refuses it. If the queue is
   * full, a request that ranks lower may be dropped in its favour.
   */
  SubmitResult Submit(const SlotRequest& aRequest, utils::Millis aNow);

  /** Frees the slot of a running request; does nothing for other tickets. */
  void Release(std::uint64_t aTicket, utils::Millis aNow);

  /** Removes a waiting request; does nothing for other tickets. */
  void Cancel(std::uint64_t aTicket);

  /**
   * Moves the waiting request that ranks highest into a free slot and returns
   * its ticket; empty if none may run now.
   */
  std::optional<std::uint64_t> TakeNext(utils::Millis aNow);

  /**
   * Removes one waiting request that is not expected to finish by its deadline
   * and returns its ticket; empty if there is none.
   */
  std::optional<std::uint64_t> TakeInfeasible(utils::Millis aNow);

  std::size_t GetRunning() const { return running_.size(); }
  std::size_t GetWaiting() const { return waiting_.size(); }
  std::size_t GetSlots() const { return slots_; }

  /** Estimated waiting time of a new request of that priority, ms. */
  utils::Millis EstimateWait(int aPriority) const;

private:
  struct RunningRequest
  {
    SlotRequest request;
    utils::Millis startedAt;
  };

  /** Whether it is expected to finish in time if it starts at aStart. */
  bool CanMeetDeadline(const SlotRequest& aRequest, utils::Millis aStart) const;
  bool MayRun(const SlotRequest& aRequest) const;
  void Run(const SlotRequest& aRequest, utils::Millis aNow);
  /** Index in waiting_ of the request to drop for aNewRequest, if any. */
  std::optional<std::size_t> FindVictim(const SlotRequest& aNewRequest) const;
  std::size_t CountWaiting(const std::string& aOrganisation) const;

  std::size_t slots_;
  std::size_t maxWaiting_;
  std::map<std::uint64_t, RunningRequest> running_;
  std::map<std::string, std::size_t> runningByOrganisation_;
  /** In the order of submission. */
  std::vector<SlotRequest> waiting_;
  std::size_t runningSuspects_ = 0;
  /** Moving average of the time that a request holds its slot, ms. */
  double meanHoldMillis_ = 0;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_AdmissionController_h
