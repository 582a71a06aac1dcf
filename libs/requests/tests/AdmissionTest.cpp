#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "AdmissionController.h"

using namespace waxwingyoke;
using namespace waxwingyoke::requests;
using utils::Millis;

namespace {

constexpr Millis kNow(1000);
constexpr Millis kFarDeadline(1000000);

SlotRequest
MakeRequest(std::uint64_t aTicket,
            const std::string& aOrganisation,
            int aPriority = 5)
{
  return { aTicket, aOrganisation, aPriority, kFarDeadline, false };
}

// Releases the running request, then runs all waiting ones, one at a time, and
// returns their tickets in that order.
std::vector<std::uint64_t>
DrainQueue(AdmissionController& aAdmission, std::uint64_t aRunning)
{
  std::vector<std::uint64_t> order;
  aAdmission.Release(aRunning, kNow);
  while (auto ticket = aAdmission.TakeNext(kNow)) {
    order.push_back(*ticket);
    aAdmission.Release(*ticket, kNow);
  }
  return order;
}

} // namespace

TEST_CASE("at most the given number of requests run and wait")
{
  AdmissionController admission(2, 1);
  CHECK(admission.Submit(MakeRequest(1, "a"), kNow).decision ==
        AdmissionDecision::Run);
  CHECK(admission.Submit(MakeRequest(2, "a"), kNow).decision ==
        AdmissionDecision::Run);
  CHECK(admission.Submit(MakeRequest(3, "a"), kNow).decision ==
        AdmissionDecision::Wait);
  CHECK(admission.Submit(MakeRequest(4, "a"), kNow).decision ==
        AdmissionDecision::Refused);
  CHECK_FALSE(admission.TakeNext(kNow));
  admission.Release(1, kNow);
  CHECK(admission.TakeNext(kNow) == 3);
}

TEST_CASE("a more urgent request runs first, and displaces the least urgent")
{
  AdmissionController admission(1, 2);
  admission.Submit(MakeRequest(1, "a"), kNow);
  admission.Submit(MakeRequest(2, "a", 9), kNow);
  admission.Submit(MakeRequest(3, "a", 5), kNow);
  auto result = admission.Submit(MakeRequest(4, "a", 0), kNow);
  CHECK(result.decision == AdmissionDecision::Wait);
  CHECK(result.shed == 2);
  CHECK(DrainQueue(admission, 1) == std::vector<std::uint64_t>{ 4, 3 });
}

TEST_CASE("an organisation that fills the queue does not lock out another")
{
  AdmissionController admission(1, 4);
  admission.Submit(MakeRequest(1, "big"), kNow);
  for (std::uint64_t ticket = 2; ticket <= 5; ++ticket) {
    admission.Submit(MakeRequest(ticket, "big"), kNow);
  }
  auto result = admission.Submit(MakeRequest(6, "small"), kNow);
  CHECK(result.shed == 5);
  CHECK(admission.Submit(MakeRequest(7, "big"), kNow).decision ==
        AdmissionDecision::Refused);
}

TEST_CASE("a free slot goes to the organisation with the fewest running")
{
  AdmissionController admission(3, 10);
  admission.Submit(MakeRequest(1, "big"), kNow);
  admission.Submit(MakeRequest(2, "big"), kNow);
  admission.Submit(MakeRequest(3, "big"), kNow);
  admission.Submit(MakeRequest(4, "big"), kNow);
  admission.Submit(MakeRequest(5, "small"), kNow);
  admission.Release(1, kNow);
  CHECK(admission.TakeNext(kNow) == 5);
}

TEST_CASE("a request that can't finish by its deadline is refused early")
{
  AdmissionController admission(1, 100);
  admission.Submit(MakeRequest(1, "a"), Millis(0));
  admission.Release(1, Millis(1000));
  admission.Submit(MakeRequest(2, "a"), Millis(1000));
  // The slot is expected to be free after 1 s, and the request to run 1 s.
  auto tight = MakeRequest(3, "a");
  tight.deadline = Millis(2900);
  CHECK(admission.Submit(tight, Millis(1000)).decision ==
        AdmissionDecision::Refused);
  tight.deadline = Millis(3100);
  CHECK(admission.Submit(tight, Millis(1000)).decision ==
        AdmissionDecision::Wait);
  CHECK_FALSE(admission.TakeInfeasible(Millis(2000)));
  CHECK(admission.TakeInfeasible(Millis(2100)) == 3);
  CHECK(admission.GetWaiting() == 0);
}

TEST_CASE("only one suspect runs at a time, and others pass a waiting one")
{
  AdmissionController admission(3, 10);
  auto suspect = MakeRequest(1, "a");
  suspect.suspect = true;
  CHECK(admission.Submit(suspect, kNow).decision == AdmissionDecision::Run);
  suspect.ticket = 2;
  CHECK(admission.Submit(suspect, kNow).decision == AdmissionDecision::Wait);
  CHECK_FALSE(admission.TakeNext(kNow));
  admission.Submit(MakeRequest(3, "a"), kNow);
  CHECK(admission.TakeNext(kNow) == 3);
  admission.Release(1, kNow);
  CHECK(admission.TakeNext(kNow) == 2);
}

TEST_CASE("random histories exceed no bound and lose no request")
{
  for (unsigned seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    AdmissionController admission(3, 5);
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> waiting;
    auto admitWaiting = [&] {
      while (auto ticket = admission.TakeNext(kNow)) {
        CHECK(waiting.erase(*ticket) == 1);
        running.insert(*ticket);
      }
    };
    for (std::uint64_t ticket = 1; ticket <= 300; ++ticket) {
      auto request = MakeRequest(
        ticket, std::to_string(random() % 3), static_cast<int>(random() % 10));
      request.suspect = random() % 5 == 0;
      auto result = admission.Submit(request, kNow);
      if (result.shed) {
        CHECK(waiting.erase(*result.shed) == 1);
      }
      if (result.decision == AdmissionDecision::Run) {
        running.insert(ticket);
      } else if (result.decision == AdmissionDecision::Wait) {
        waiting.insert(ticket);
      }
      admitWaiting();
      if (!running.empty() && random() % 2 == 0) {
        admission.Release(*running.begin(), kNow);
        running.erase(running.begin());
        admitWaiting();
      }
      CHECK(running.size() <= 3);
      CHECK(waiting.size() <= 5);
      CHECK(admission.GetRunning() == running.size());
      CHECK(admission.GetWaiting() == waiting.size());
    }
    while (!running.empty()) {
      admission.Release(*running.begin(), kNow);
      running.erase(running.begin());
      admitWaiting();
    }
    CHECK(waiting.empty());
  }
}
