#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <string>

#include "Answer.h"
#include "AttemptRegistry.h"

using namespace waxwingyoke;
using namespace waxwingyoke::requests;
using utils::Millis;

namespace {

std::shared_ptr<Answer>
MakeAnswer()
{
  return std::make_shared<Answer>();
}

} // namespace

TEST_CASE("an attempt that was queried before it began never begins")
{
  AttemptRegistry attempts({});
  CHECK(attempts.QueryOrBar("a", Millis(0), Millis(5)) == schema::BARRED);
  CHECK(attempts.Begin("a", MakeAnswer(), Millis(6)) == BeginResult::Barred);
  CHECK(attempts.QueryOrBar("a", Millis(0), Millis(7)) == schema::BARRED);
}

TEST_CASE("an attempt begins once, and a query returns its state")
{
  AttemptRegistry attempts({});
  auto answer = MakeAnswer();
  CHECK(attempts.Begin("a", answer, Millis(0)) == BeginResult::Begun);
  CHECK(attempts.Begin("a", MakeAnswer(), Millis(0)) ==
        BeginResult::AlreadyBegun);
  CHECK(attempts.QueryOrBar("a", Millis(0), Millis(1)) == schema::RUNNING);
  attempts.Finish("a", schema::FINISHED, 10, Millis(2));
  CHECK(attempts.QueryOrBar("a", Millis(0), Millis(3)) == schema::FINISHED);
  CHECK(attempts.FindAnswer("a") == answer);
}

TEST_CASE("held answers are evicted over the size and time limits")
{
  AttemptLimits limits;
  limits.maxHeldBytes = 100;
  limits.maxHoldTime = Millis(50);
  AttemptRegistry attempts(limits);
  for (const char* id : { "a", "b", "c" }) {
    attempts.Begin(id, MakeAnswer(), Millis(0));
    attempts.Finish(id, schema::FINISHED, 40, Millis(0));
    CHECK(attempts.GetHeldBytes() <= 100);
  }
  CHECK_FALSE(attempts.FindAnswer("a"));
  CHECK(attempts.FindAnswer("c"));
  attempts.Expire(Millis(51));
  CHECK_FALSE(attempts.FindAnswer("c"));
  CHECK(attempts.QueryOrBar("c", Millis(51), Millis(51)) == schema::FINISHED);
}

TEST_CASE("a running attempt is never evicted")
{
  AttemptLimits limits;
  limits.maxRecords = 2;
  AttemptRegistry attempts(limits);
  for (const char* id : { "a", "b", "c", "d" }) {
    attempts.Begin(id, MakeAnswer(), Millis(0));
  }
  attempts.Expire(Millis(10000000));
  CHECK(attempts.QueryOrBar("a", Millis(1), Millis(10000000)) ==
        schema::RUNNING);
}

namespace {

// Random history of entries that send each attempt once, received up to 20 ms
// later, and query any of them at any time. The limits are far below the number
// of attempts, so that attempts and bars are evicted all the time.
struct History
{
  explicit History(unsigned aSeed)
    : random(aSeed)
    , attempts(MakeLimits())
  {
  }

  static AttemptLimits MakeLimits()
  {
    AttemptLimits limits;
    limits.maxRecords = 8;
    limits.maxBars = 8;
    limits.retention = Millis(40);
    return limits;
  }

  void Step()
  {
    now = now + Millis(random() % 4);
    auto id =
      std::to_string(now.value / 20) + "/" + std::to_string(random() % 4);
    sent.try_emplace(id, now);
    switch (random() % 3) {
      case 0:
        Arrive(id);
        break;
      case 1:
        attempts.Finish(id, schema::FINISHED, 10, now);
        break;
      default:
        Ask(*std::next(sent.begin(),
                       static_cast<std::ptrdiff_t>(random() % sent.size())));
    }
  }

  void Arrive(const std::string& aId)
  {
    if (!arrived.insert(aId).second) {
      return;
    }
    if (attempts.Begin(aId, MakeAnswer(), now) == BeginResult::Begun) {
      CHECK_FALSE(notRun.contains(aId));
      begun.insert(aId);
    }
  }

  void Ask(const std::pair<const std::string, Millis>& aSent)
  {
    auto age = now - aSent.second;
    if (attempts.QueryOrBar(aSent.first, age, now) == schema::BARRED) {
      CHECK_FALSE(begun.contains(aSent.first));
      notRun.insert(aSent.first);
    }
  }

  std::mt19937 random;
  AttemptRegistry attempts;
  Millis now;
  std::map<std::string, Millis> sent;
  std::set<std::string> arrived;
  std::set<std::string> begun;
  std::set<std::string> notRun;
};

} // namespace

TEST_CASE("an attempt that was reported as not run does not run")
{
  std::size_t barred = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    History history(seed);
    for (int step = 0; step < 400; ++step) {
      history.Step();
    }
    barred += history.notRun.size();
  }
  // The histories must produce enough "not run" results to check.
  CHECK(barred > 1000);
}
