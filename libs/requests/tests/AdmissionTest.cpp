#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Admission.h"

using namespace waxwingyoke;
using namespace waxwingyoke::requests;
using utils::Millis;

namespace {

constexpr Millis kNow(1000);
constexpr Millis kFar(1000000);

Applicant
MakeApplicant(std::uint64_t aTicket,
              const std::string& aOrganisation,
              int aPriority = 5)
{
  return { aTicket, aOrganisation, aPriority, kFar, false };
}

// Takes everything from the queue, one slot at a time.
std::vector<std::uint64_t>
TakeAll(Admission& aAdmission, std::uint64_t aRunning)
{
  std::vector<std::uint64_t> order;
  aAdmission.Leave(aRunning, kNow);
  while (auto ticket = aAdmission.TakeNext(kNow)) {
    order.push_back(*ticket);
    aAdmission.Leave(*ticket, kNow);
  }
  return order;
}

} // namespace

TEST_CASE("slots bound what runs and the queue what waits")
{
  Admission admission(2, 1);
  CHECK(admission.Arrive(MakeApplicant(1, "a"), kNow).admitted ==
        Admitted::Run);
  CHECK(admission.Arrive(MakeApplicant(2, "a"), kNow).admitted ==
        Admitted::Run);
  CHECK(admission.Arrive(MakeApplicant(3, "a"), kNow).admitted ==
        Admitted::Wait);
  CHECK(admission.Arrive(MakeApplicant(4, "a"), kNow).admitted ==
        Admitted::Refused);
  CHECK_FALSE(admission.TakeNext(kNow));
  admission.Leave(1, kNow);
  CHECK(admission.TakeNext(kNow) == 3);
}

TEST_CASE("urgent requests go first and shed the least urgent")
{
  Admission admission(1, 2);
  admission.Arrive(MakeApplicant(1, "a"), kNow);
  admission.Arrive(MakeApplicant(2, "a", 9), kNow);
  admission.Arrive(MakeApplicant(3, "a", 5), kNow);
  auto result = admission.Arrive(MakeApplicant(4, "a", 0), kNow);
  CHECK(result.admitted == Admitted::Wait);
  CHECK(result.shed == 2);
  CHECK(TakeAll(admission, 1) == std::vector<std::uint64_t>{ 4, 3 });
}

TEST_CASE("one organisation's queue does not keep another out")
{
  Admission admission(1, 4);
  admission.Arrive(MakeApplicant(1, "big"), kNow);
  for (std::uint64_t ticket = 2; ticket <= 5; ++ticket) {
    admission.Arrive(MakeApplicant(ticket, "big"), kNow);
  }
  auto result = admission.Arrive(MakeApplicant(6, "small"), kNow);
  CHECK(result.shed == 5);
  CHECK(admission.Arrive(MakeApplicant(7, "big"), kNow).admitted ==
        Admitted::Refused);
}

TEST_CASE("a free slot goes to the organisation with the fewest running")
{
  Admission admission(3, 10);
  admission.Arrive(MakeApplicant(1, "big"), kNow);
  admission.Arrive(MakeApplicant(2, "big"), kNow);
  admission.Arrive(MakeApplicant(3, "big"), kNow);
  admission.Arrive(MakeApplicant(4, "big"), kNow);
  admission.Arrive(MakeApplicant(5, "small"), kNow);
  admission.Leave(1, kNow);
  CHECK(admission.TakeNext(kNow) == 5);
}

TEST_CASE("what can't be had by its deadline is refused at once")
{
  Admission admission(1, 100);
  admission.Arrive(MakeApplicant(1, "a"), Millis(0));
  admission.Leave(1, Millis(1000));
  admission.Arrive(MakeApplicant(2, "a"), Millis(1000));
  // A second until the slot is free, and a second to run.
  auto soon = MakeApplicant(3, "a");
  soon.deadline = Millis(2900);
  CHECK(admission.Arrive(soon, Millis(1000)).admitted == Admitted::Refused);
  soon.deadline = Millis(3100);
  CHECK(admission.Arrive(soon, Millis(1000)).admitted == Admitted::Wait);
  CHECK_FALSE(admission.TakeHopeless(Millis(2000)));
  CHECK(admission.TakeHopeless(Millis(2100)) == 3);
  CHECK(admission.GetWaiting() == 0);
}

TEST_CASE("two suspects never run together and hold up nobody else")
{
  Admission admission(3, 10);
  auto suspect = MakeApplicant(1, "a");
  suspect.suspect = true;
  CHECK(admission.Arrive(suspect, kNow).admitted == Admitted::Run);
  suspect.ticket = 2;
  CHECK(admission.Arrive(suspect, kNow).admitted == Admitted::Wait);
  CHECK_FALSE(admission.TakeNext(kNow));
  admission.Arrive(MakeApplicant(3, "a"), kNow);
  CHECK(admission.TakeNext(kNow) == 3);
  admission.Leave(1, kNow);
  CHECK(admission.TakeNext(kNow) == 2);
}

TEST_CASE("over any history slots, queue and every applicant are accounted for")
{
  for (unsigned seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Admission admission(3, 5);
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> waiting;
    auto take = [&] {
      while (auto ticket = admission.TakeNext(kNow)) {
        CHECK(waiting.erase(*ticket) == 1);
        running.insert(*ticket);
      }
    };
    for (std::uint64_t ticket = 1; ticket <= 300; ++ticket) {
      auto applicant = MakeApplicant(
        ticket, std::to_string(random() % 3), static_cast<int>(random() % 10));
      applicant.suspect = random() % 5 == 0;
      auto result = admission.Arrive(applicant, kNow);
      if (result.shed) {
        CHECK(waiting.erase(*result.shed) == 1);
      }
      if (result.admitted == Admitted::Run) {
        running.insert(ticket);
      } else if (result.admitted == Admitted::Wait) {
        waiting.insert(ticket);
      }
      take();
      if (!running.empty() && random() % 2 == 0) {
        admission.Leave(*running.begin(), kNow);
        running.erase(running.begin());
        take();
      }
      CHECK(running.size() <= 3);
      CHECK(waiting.size() <= 5);
      CHECK(admission.GetRunning() == running.size());
      CHECK(admission.GetWaiting() == waiting.size());
    }
    while (!running.empty()) {
      admission.Leave(*running.begin(), kNow);
      running.erase(running.begin());
      take();
    }
    CHECK(waiting.empty());
  }
}
