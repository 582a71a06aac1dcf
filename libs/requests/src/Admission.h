#ifndef waxwingyoke_requests_Admission_h
#define waxwingyoke_requests_Admission_h

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::requests {

/** A request that asks for a slot of the upstream. */
struct Applicant
{
  std::uint64_t ticket = 0;
  std::string organisation;
  /** 0 is the most urgent. */
  int priority = 0;
  utils::Millis deadline;
  /** Ran on an upstream that died; never two of them at once. */
  bool suspect = false;
};

/** What became of an applicant. */
enum class Admitted
{
  Run,
  Wait,
  Refused
};

/** The answer to an arrival. */
struct ArrivalResult
{
  Admitted admitted = Admitted::Refused;
  /** The ticket of one that waited and is refused in favour of this. */
  std::optional<std::uint64_t> shed;
};

/**
 * Decides who gets a slot: urgent before less urgent, among equals the
 * organisation that has the fewest running, then the oldest. A request that
 * can't be finished by its deadline is refused as soon as that shows: a slot
 * that it would hold until it is late is lost to the others.
 */
class Admission
{
public:
  Admission(std::size_t aSlots, std::size_t aQueue);

  ArrivalResult Arrive(const Applicant& aApplicant, utils::Millis aNow);

  /** One that ran is done. */
  void Leave(std::uint64_t aTicket, utils::Millis aNow);

  /** One that waits gives up. */
  void Abandon(std::uint64_t aTicket);

  /** Takes the next that may run now from the queue. */
  std::optional<std::uint64_t> TakeNext(utils::Millis aNow);

  /** Drops one that waits and would not be finished by its deadline. */
  std::optional<std::uint64_t> TakeHopeless(utils::Millis aNow);

  std::size_t GetRunning() const { return running_.size(); }
  std::size_t GetWaiting() const { return waiting_.size(); }
  std::size_t GetSlots() const { return slots_; }

  /** How long a request that comes now waits, as far as can be told. */
  utils::Millis EstimateWait(int aPriority) const;

private:
  struct Runner
  {
    Applicant applicant;
    utils::Millis since;
  };

  bool MayFinish(const Applicant& aApplicant, utils::Millis aStart) const;
  bool MayRun(const Applicant& aApplicant) const;
  void Run(const Applicant& aApplicant, utils::Millis aNow);
  std::optional<std::size_t> FindVictim(const Applicant& aNewcomer) const;
  std::size_t CountWaiting(const std::string& aOrganisation) const;

  std::size_t slots_;
  std::size_t queue_;
  std::map<std::uint64_t, Runner> running_;
  std::map<std::string, std::size_t> runningOf_;
  std::vector<Applicant> waiting_;
  std::size_t suspects_ = 0;
  /** Moving mean of how long a request holds its slot, ms. */
  double holdMillis_ = 0;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Admission_h
