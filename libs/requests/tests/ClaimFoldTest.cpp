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

TEST_CASE("the first claim of a key in log order is in force")
{
  ClaimFold fold;
  auto first = MakeClaim("1000-k", "a1");
  auto second = MakeClaim("1000-k", "a2");
  auto other = MakeClaim("1000-k", "a3", "other");
  CHECK(fold.Evaluate(first).verdict() == schema::UNCLAIMED);
  fold.Apply(0, MakeRecord({ first, second }));
  fold.Apply(1, MakeRecord({ other, first }));
  CHECK(fold.Evaluate(first).verdict() == schema::GRANTED);
  CHECK(fold.Evaluate(second).verdict() == schema::REPEAT);
  CHECK(fold.Evaluate(second).claim().attempt() == "a1");
  CHECK(fold.Evaluate(other).verdict() == schema::OTHER_BODY);
}

TEST_CASE("only a claim of the same request that names the attempt in force "
          "replaces it")
{
  ClaimFold fold;
  fold.Apply(0, MakeRecord({ MakeClaim("1000-k", "a1") }));
  fold.Apply(1, MakeRecord({ MakeClaim("1000-k", "a2", "d", "a1") }));
  fold.Apply(2, MakeRecord({ MakeClaim("1000-k", "a3", "d", "a1") }));
  fold.Apply(3, MakeRecord({ MakeClaim("1000-k", "a4", "other", "a2") }));
  CHECK(fold.Find("org", "1000-k")->attempt() == "a2");
}

TEST_CASE("after the log was trimmed only keys issued since are covered")
{
  ClaimFold fold;
  CHECK(fold.Covers(Millis(1)));
  fold.RestartAt(50, Millis(900000));
  CHECK_FALSE(fold.Covers(Millis(900000)));
  fold.Apply(50, MakeRecord({}, 500000));
  CHECK_FALSE(fold.Covers(Millis(500000)));
  CHECK(fold.Covers(Millis(700000)));
}

TEST_CASE("keys evicted over the row limit are no longer covered")
{
  ClaimFold fold(2);
  fold.Apply(0,
             MakeRecord({ MakeClaim("1000-k", "a"),
                          MakeClaim("2000-k", "b"),
                          MakeClaim("3000-k", "c") }));
  CHECK(fold.GetRowCount() == 2);
  CHECK_FALSE(fold.Covers(Millis(1000)));
  CHECK(fold.Covers(Millis(2000)));
  fold.Expire(Millis(3000));
  CHECK(fold.GetRowCount() == 1);
}

TEST_CASE("organisations and keys with the same concatenation stay distinct")
{
  ClaimFold fold;
  auto one = MakeClaim("1-bc", "a1");
  one.set_organisation("a");
  fold.Apply(0, MakeRecord({ one }));
  CHECK_FALSE(fold.Find("a1", "-bc"));
  CHECK(fold.Find("a", "1-bc"));
}

namespace {

// Random history of entries that claim a few keys, append a record twice after
// a lost reply, and replace attempts that a side has barred. An entry may crash
// after any append.
struct ClaimHistory
{
  explicit ClaimHistory(unsigned aSeed)
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
      // Only an attempt that its side has barred before it ran is replaced.
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
      return; // The entry crashes before it reads the stream back.
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
    bool granted = reader.Evaluate(aClaim).verdict() == schema::GRANTED;
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

// Guards against two entries running the same key, and against entries that
// derive different claims from the same log.
TEST_CASE("a key runs at most once and all readers of the log agree")
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    ClaimHistory history(seed);
    for (int i = 0; i < 60; ++i) {
      history.Step();
    }
    for (const auto& run : history.runsOf) {
      CAPTURE(run.first);
      CHECK(run.second <= 1);
    }
    history.ReadBack();
    ClaimFold lateReader;
    for (std::size_t i = 0; i < history.log.size(); ++i) {
      lateReader.Apply(i, history.log[i]);
      lateReader.Apply(i, history.log[i]);
    }
    for (const char* key : { "1000-0", "1000-1", "1000-2" }) {
      const auto* one = history.reader.Find("org", key);
      const auto* other = lateReader.Find("org", key);
      REQUIRE((one != nullptr) == (other != nullptr));
      CHECK((!one || one->attempt() == other->attempt()));
    }
  }
}
