#include "AdmissionController.h"

#include <algorithm>
#include <tuple>

namespace waxwingyoke::requests {

namespace {

// Weight of the newest sample in the moving average of slot hold times.
constexpr double kHoldSmoothing = 0.1;

} // namespace

AdmissionController::AdmissionController(std::size_t aSlots,
                                         std::size_t aMaxWaiting)
  : slots_(std::max<std::size_t>(aSlots, 1))
  , maxWaiting_(aMaxWaiting)
{
}

bool
AdmissionController::MayRun(const SlotRequest& aRequest) const
{
  return running_.size() < slots_ &&
         !(aRequest.suspect && runningSuspects_ > 0);
}

bool
AdmissionController::CanMeetDeadline(const SlotRequest& aRequest,
                                     utils::Millis aStart) const
{
  auto expectedHold = utils::Millis(static_cast<std::int64_t>(meanHoldMillis_));
  return aStart + expectedHold < aRequest.deadline;
}

void
AdmissionController::Run(const SlotRequest& aRequest, utils::Millis aNow)
{
  running_.insert({ aRequest.ticket, RunningRequest{ aRequest, aNow } });
  ++runningByOrganisation_[aRequest.organisation];
  runningSuspects_ += aRequest.suspect ? 1 : 0;
}

utils::Millis
AdmissionController::EstimateWait(int aPriority) const
{
  if (running_.size() < slots_) {
    return utils::Millis(0);
  }
  auto ahead =
    std::ranges::count_if(waiting_, [aPriority](const SlotRequest& aOther) {
      return aOther.priority <= aPriority;
    });
  auto rounds = static_cast<double>(ahead + 1) / static_cast<double>(slots_);
  return utils::Millis(static_cast<std::int64_t>(rounds * meanHoldMillis_));
}

std::size_t
AdmissionController::CountWaiting(const std::string& aOrganisation) const
{
  return static_cast<std::size_t>(
    std::ranges::count(waiting_, aOrganisation, &SlotRequest::organisation));
}

std::optional<std::size_t>
AdmissionController::FindVictim(const SlotRequest& aNewRequest) const
{
  // The least urgent request; among equals the newest one of the organisation
  // with the most waiting requests.
  auto rank = [this](const SlotRequest& aOther) {
    return std::make_tuple(
      aOther.priority, CountWaiting(aOther.organisation), aOther.ticket);
  };
  auto victim = std::ranges::max_element(waiting_, {}, rank);
  if (victim == waiting_.end()) {
    return std::nullopt;
  }
  bool isLessUrgent = victim->priority > aNewRequest.priority;
  bool hasLargerShare = victim->priority == aNewRequest.priority &&
                        CountWaiting(victim->organisation) >
                          CountWaiting(aNewRequest.organisation) + 1;
  if (!isLessUrgent && !hasLargerShare) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(victim - waiting_.begin());
}

SubmitResult
AdmissionController::Submit(const SlotRequest& aRequest, utils::Millis aNow)
{
  if (waiting_.empty() && MayRun(aRequest)) {
    Run(aRequest, aNow);
    return { AdmissionDecision::Run, std::nullopt };
  }
  if (!CanMeetDeadline(aRequest, aNow + EstimateWait(aRequest.priority))) {
    return {};
  }
  SubmitResult result{ AdmissionDecision::Wait, std::nullopt };
  if (waiting_.size() >= maxWaiting_) {
    auto victim = FindVictim(aRequest);
    if (!victim) {
      return {};
    }
    auto it = waiting_.begin() + static_cast<std::ptrdiff_t>(*victim);
    result.shed = it->ticket;
    waiting_.erase(it);
  }
  waiting_.push_back(aRequest);
  return result;
}

void
AdmissionController::Release(std::uint64_t aTicket, utils::Millis aNow)
{
  auto it = running_.find(aTicket);
  if (it == running_.end()) {
    return;
  }
  const auto& finished = it->second;
  auto holdMillis = static_cast<double>((aNow - finished.startedAt).value);
  meanHoldMillis_ =
    meanHoldMillis_ == 0
      ? holdMillis
      : meanHoldMillis_ + kHoldSmoothing * (holdMillis - meanHoldMillis_);
  runningSuspects_ -= finished.request.suspect ? 1 : 0;
  auto count = runningByOrganisation_.find(finished.request.organisation);
  if (--count->second == 0) {
    runningByOrganisation_.erase(count);
  }
  running_.erase(it);
}

void
AdmissionController::Cancel(std::uint64_t aTicket)
{
  std::erase_if(waiting_, [aTicket](const SlotRequest& aOther) {
    return aOther.ticket == aTicket;
  });
}

std::optional<std::uint64_t>
AdmissionController::TakeInfeasible(utils::Millis aNow)
{
  auto it = std::ranges::find_if(waiting_, [&](const SlotRequest& aOther) {
    return !CanMeetDeadline(aOther, aNow);
  });
  if (it == waiting_.end()) {
    return std::nullopt;
  }
  auto ticket = it->ticket;
  waiting_.erase(it);
  return ticket;
}

std::optional<std::uint64_t>
AdmissionController::TakeNext(utils::Millis aNow)
{
  auto rank = [this](const SlotRequest& aRequest) {
    auto count = runningByOrganisation_.find(aRequest.organisation);
    auto running = count == runningByOrganisation_.end() ? 0 : count->second;
    return std::make_tuple(
      !MayRun(aRequest), aRequest.priority, running, aRequest.ticket);
  };
  auto next = std::ranges::min_element(waiting_, {}, rank);
  if (next == waiting_.end() || !MayRun(*next)) {
    return std::nullopt;
  }
  auto request = *next;
  waiting_.erase(next);
  Run(request, aNow);
  return request.ticket;
}

} // namespace waxwingyoke::requests
