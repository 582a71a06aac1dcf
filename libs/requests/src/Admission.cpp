#include "Admission.h"

#include <algorithm>
#include <tuple>

namespace waxwingyoke::requests {

namespace {

// Weight of the newest sample in the mean time that a slot is held.
constexpr double kHoldWeight = 0.1;

} // namespace

Admission::Admission(std::size_t aSlots, std::size_t aQueue)
  : slots_(std::max<std::size_t>(aSlots, 1))
  , queue_(aQueue)
{
}

bool
Admission::MayRun(const Applicant& aApplicant) const
{
  return running_.size() < slots_ && !(aApplicant.suspect && suspects_ > 0);
}

bool
Admission::MayFinish(const Applicant& aApplicant, utils::Millis aStart) const
{
  auto hold = utils::Millis(static_cast<std::int64_t>(holdMillis_));
  return aStart + hold < aApplicant.deadline;
}

void
Admission::Run(const Applicant& aApplicant, utils::Millis aNow)
{
  running_.insert({ aApplicant.ticket, Runner{ aApplicant, aNow } });
  ++runningOf_[aApplicant.organisation];
  suspects_ += aApplicant.suspect ? 1 : 0;
}

utils::Millis
Admission::EstimateWait(int aPriority) const
{
  if (running_.size() < slots_) {
    return utils::Millis(0);
  }
  auto ahead =
    std::ranges::count_if(waiting_, [aPriority](const Applicant& aOther) {
      return aOther.priority <= aPriority;
    });
  auto rounds = static_cast<double>(ahead + 1) / static_cast<double>(slots_);
  return utils::Millis(static_cast<std::int64_t>(rounds * holdMillis_));
}

std::size_t
Admission::CountWaiting(const std::string& aOrganisation) const
{
  return static_cast<std::size_t>(
    std::ranges::count(waiting_, aOrganisation, &Applicant::organisation));
}

std::optional<std::size_t>
Admission::FindVictim(const Applicant& aNewcomer) const
{
  // The least urgent; among those of the organisation that waits with the
  // most, the one that came last.
  auto rank = [this](const Applicant& aOther) {
    return std::make_tuple(
      aOther.priority, CountWaiting(aOther.organisation), aOther.ticket);
  };
  auto victim = std::ranges::max_element(waiting_, {}, rank);
  if (victim == waiting_.end()) {
    return std::nullopt;
  }
  bool lessUrgent = victim->priority > aNewcomer.priority;
  bool greedier = victim->priority == aNewcomer.priority &&
                  CountWaiting(victim->organisation) >
                    CountWaiting(aNewcomer.organisation) + 1;
  if (!lessUrgent && !greedier) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(victim - waiting_.begin());
}

ArrivalResult
Admission::Arrive(const Applicant& aApplicant, utils::Millis aNow)
{
  if (waiting_.empty() && MayRun(aApplicant)) {
    Run(aApplicant, aNow);
    return { Admitted::Run, std::nullopt };
  }
  if (!MayFinish(aApplicant, aNow + EstimateWait(aApplicant.priority))) {
    return {};
  }
  ArrivalResult result{ Admitted::Wait, std::nullopt };
  if (waiting_.size() >= queue_) {
    auto victim = FindVictim(aApplicant);
    if (!victim) {
      return {};
    }
    auto place = waiting_.begin() + static_cast<std::ptrdiff_t>(*victim);
    result.shed = place->ticket;
    waiting_.erase(place);
  }
  waiting_.push_back(aApplicant);
  return result;
}

void
Admission::Leave(std::uint64_t aTicket, utils::Millis aNow)
{
  auto place = running_.find(aTicket);
  if (place == running_.end()) {
    return;
  }
  const auto& runner = place->second;
  auto held = static_cast<double>((aNow - runner.since).value);
  holdMillis_ =
    holdMillis_ == 0 ? held : holdMillis_ + kHoldWeight * (held - holdMillis_);
  suspects_ -= runner.applicant.suspect ? 1 : 0;
  auto count = runningOf_.find(runner.applicant.organisation);
  if (--count->second == 0) {
    runningOf_.erase(count);
  }
  running_.erase(place);
}

void
Admission::Abandon(std::uint64_t aTicket)
{
  std::erase_if(waiting_, [aTicket](const Applicant& aOther) {
    return aOther.ticket == aTicket;
  });
}

std::optional<std::uint64_t>
Admission::TakeHopeless(utils::Millis aNow)
{
  auto place = std::ranges::find_if(waiting_, [&](const Applicant& aOther) {
    return !MayFinish(aOther, aNow);
  });
  if (place == waiting_.end()) {
    return std::nullopt;
  }
  auto ticket = place->ticket;
  waiting_.erase(place);
  return ticket;
}

std::optional<std::uint64_t>
Admission::TakeNext(utils::Millis aNow)
{
  auto rank = [this](const Applicant& aApplicant) {
    auto count = runningOf_.find(aApplicant.organisation);
    auto running = count == runningOf_.end() ? 0 : count->second;
    return std::make_tuple(
      !MayRun(aApplicant), aApplicant.priority, running, aApplicant.ticket);
  };
  auto next = std::ranges::min_element(waiting_, {}, rank);
  if (next == waiting_.end() || !MayRun(*next)) {
    return std::nullopt;
  }
  auto applicant = *next;
  waiting_.erase(next);
  Run(applicant, aNow);
  return applicant.ticket;
}

} // namespace waxwingyoke::requests
