#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ClaimFold.h"

using namespace waxwingyoke;
using namespace waxwingyoke::requests;
using utils::Millis;

namespace {

schema::Claim
MakeClaim(const std::string& aKey,
          const std::string& aAttempt,
          const std::string& aDigest = "d",
          const std::string& aReplaces = "")
{
  schema::Claim claim;
  claim.set_organisation("org");
  claim.set_key(aKey);
  claim.set_attempt(aAttempt);
  claim.set_request_digest(aDigest);
  claim.set_replaces_attempt(aReplaces);
  return claim;
}

schema::LogRecord
MakeRecord(const std::vector<schema::Claim>& aClaims, std::int64_t aTime = 0)
{
  schema::LogRecord record;
  record.mutable_claim_batch()->set_appended_ms(aTime);
  for (const auto& claim : aClaims) {
    *record.mutable_claim_batch()->add_claims() = claim;
  }
  return record;
}

} // namespace

TEST_CASE("the first claim in log order is in force")
{
  ClaimFold fold;
  auto first = MakeClaim("1000-k", "a1");
  auto second = MakeClaim("1000-k", "a2");
  auto other = MakeClaim("1000-k", "a3", "other");
  CHECK(fold.Judge(first).verdict() == schema::UNCLAIMED);
  fold.Apply(0, MakeRecord({ first, second }));
  fold.Apply(1, MakeRecord({ other, first }));
  CHECK(fold.Judge(first).verdict() == schema::GRANTED);
  CHECK(fold.Judge(second).verdict() == schema::REPEAT);
  CHECK(fold.Judge(second).claim().attempt() == "a1");
  CHECK(fold.Judge(other).verdict() == schema::OTHER_BODY);
}

TEST_CASE("a claim is replaced only by name of the attempt in force")
{
  ClaimFold fold;
  fold.Apply(0, MakeRecord({ MakeClaim("1000-k", "a1") }));
  fold.Apply(1, MakeRecord({ MakeClaim("1000-k", "a2", "d", "a1") }));
  fold.Apply(2, MakeRecord({ MakeClaim("1000-k", "a3", "d", "a1") }));
  fold.Apply(3, MakeRecord({ MakeClaim("1000-k", "a4", "other", "a2") }));
  CHECK(fold.Find("org", "1000-k")->attempt() == "a2");
}

TEST_CASE("a log that was trimmed covers only keys issued since")
{
  ClaimFold fold;
  CHECK(fold.Covers(Millis(1)));
  fold.RestartAt(50, Millis(900000));
  CHECK_FALSE(fold.Covers(Millis(900000)));
  fold.Apply(50, MakeRecord({}, 500000));
  CHECK_FALSE(fold.Covers(Millis(500000)));
  CHECK(fold.Covers(Millis(700000)));
}

TEST_CASE("rows over the bound are no longer covered")
{
  ClaimFold fold(2);
  fold.Apply(0,
             MakeRecord({ MakeClaim("1000-k", "a"),
                          MakeClaim("2000-k", "b"),
                          MakeClaim("3000-k", "c") }));
  CHECK(fold.GetRows() == 2);
  CHECK_FALSE(fold.Covers(Millis(1000)));
  CHECK(fold.Covers(Millis(2000)));
  fold.Expire(Millis(3000));
  CHECK(fold.GetRows() == 1);
}

TEST_CASE("organisations and keys that run together alike stay apart")
{
  ClaimFold fold;
  auto one = MakeClaim("1-bc", "a1");
  one.set_organisation("a");
  fold.Apply(0, MakeRecord({ one }));
  CHECK_FALSE(fold.Find("a1", "-bc"));
  CHECK(fold.Find("a", "1-bc"));
}

namespace {

// Entries that claim a handful of keys, lose append answers, send again and
// take over attempts that a side has barred; each may die at any step.
struct History
{
  explicit History(unsigned aSeed)
    : random(aSeed)
  {
  }

  unsigned Draw(unsigned aBelow) { return random() % aBelow; }

  void Step()
  {
    auto key = "1000-" + std::to_string(Draw(3));
    auto claim = MakeClaim(key, "a" + std::to_string(attempts++));
    const auto* current = reader.Find("org", key);
    if (current && Draw(2) == 0) {
      // The side bars what has not begun, and only then is it replaced.
      if (!ran.contains(current->attempt())) {
        barred.insert(current->attempt());
        claim.set_replaces_attempt(current->attempt());
      }
    }
    log.push_back(MakeRecord({ claim }));
    if (Draw(4) == 0) {
      log.push_back(log.back());
    }
    if (Draw(3) == 0) {
      return; // The entry dies, or reads back later.
    }
    ReadBack();
    TryRun(claim);
  }

  void ReadBack()
  {
    for (auto i = reader.GetNextOffset(); i < log.size(); ++i) {
      reader.Apply(i, log[i]);
    }
  }

  void TryRun(const schema::Claim& aClaim)
  {
    bool granted = reader.Judge(aClaim).verdict() == schema::GRANTED;
    if (granted && !barred.contains(aClaim.attempt())) {
      ran.insert(aClaim.attempt());
      ++runsOf[aClaim.key()];
    }
  }

  std::mt19937 random;
  std::vector<schema::LogRecord> log;
  ClaimFold reader;
  std::set<std::string> barred;
  std::set<std::string> ran;
  std::map<std::string, int> runsOf;
  int attempts = 0;
};

} // namespace

TEST_CASE("over any history a key runs at most once and readers agree")
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    History history(seed);
    for (int i = 0; i < 60; ++i) {
      history.Step();
    }
    for (const auto& run : history.runsOf) {
      CAPTURE(run.first);
      CHECK(run.second <= 1);
    }
    history.ReadBack();
    ClaimFold late;
    for (std::size_t i = 0; i < history.log.size(); ++i) {
      late.Apply(i, history.log[i]);
      late.Apply(i, history.log[i]);
    }
    for (const char* key : { "1000-0", "1000-1", "1000-2" }) {
      const auto* one = history.reader.Find("org", key);
      const auto* other = late.Find("org", key);
      REQUIRE((one != nullptr) == (other != nullptr));
      CHECK((!one || one->attempt() == other->attempt()));
    }
  }
}
