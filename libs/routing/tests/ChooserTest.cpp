#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

#include <routing/Chooser.h>
#include <utils/Hash.h>

using namespace waxwingyoke;
using namespace waxwingyoke::routing;
using utils::Millis;

namespace {

Candidate
MakeCandidate(const std::string& aVm, const std::string& aDataCentre = "a1")
{
  Candidate candidate;
  candidate.vm = aVm;
  candidate.incarnation = aVm;
  candidate.dataCentre = aDataCentre;
  candidate.region = aDataCentre.substr(0, 1);
  candidate.slots = 4;
  candidate.hash = utils::StableHash(aVm);
  candidate.state = std::make_shared<SideState>();
  return candidate;
}

Candidates
MakePool(int aCount)
{
  Candidates pool;
  for (int i = 0; i < aCount; ++i) {
    pool.push_back(MakeCandidate("vm-" + std::to_string(i)));
    pool.back().slots = 1000;
  }
  return pool;
}

ChoiceQuery
MakeQuery(std::uint64_t aRandom = 1)
{
  ChoiceQuery query;
  query.dataCentre = "a1";
  query.region = "a";
  query.now = Millis(100000);
  query.random = aRandom;
  query.affinity = utils::StableHash(std::to_string(aRandom));
  return query;
}

void
Load(const Candidate& aCandidate, int aRequests)
{
  for (int i = 0; i < aRequests; ++i) {
    aCandidate.state->Begin();
  }
}

} // namespace

TEST_CASE("free slots in the data centre go first, then those in the region")
{
  Candidates all{ MakeCandidate("near", "a1"),
                  MakeCandidate("region", "a2"),
                  MakeCandidate("far", "b1") };
  CHECK(Choose(all, MakeQuery())->vm == "near");
  Load(all[0], 4);
  CHECK(Choose(all, MakeQuery())->vm == "region");
  Load(all[1], 4);
  CHECK(Choose(all, MakeQuery())->vm == "far");
  Load(all[2], 6);
  CHECK(Choose(all, MakeQuery())->vm != "far");
}

TEST_CASE("excluded sides, other versions and ejected sides are not chosen")
{
  Candidates all{ MakeCandidate("one"), MakeCandidate("two") };
  auto query = MakeQuery();
  query.excluded = { "one" };
  CHECK(Choose(all, query)->vm == "two");
  query.excluded = { "one", "two" };
  CHECK_FALSE(Choose(all, query));
  query.excluded.clear();
  query.version = "v2";
  CHECK_FALSE(Choose(all, query));
  all[0].version = "v2";
  CHECK(Choose(all, query)->vm == "one");
  all[0].state->OnFailure(query.now);
  query.version.clear();
  CHECK(Choose(all, query)->vm == "two");
  all[1].state->OnFailure(query.now);
  CHECK(Choose(all, query));
}

TEST_CASE("ejections grow with each failure, and traffic ramps up afterwards")
{
  SideState state;
  Millis now(1000);
  CHECK(state.GetTrafficShare(now) == 1);
  state.OnFailure(now);
  state.OnFailure(now);
  CHECK(state.IsEjected(now + Millis(499)));
  CHECK_FALSE(state.IsEjected(now + Millis(500)));
  CHECK(state.GetTrafficShare(now + Millis(500)) < 0.2);
  CHECK(state.GetTrafficShare(now + Millis(3500)) == 1);
  state.OnFailure(now + Millis(600));
  CHECK(state.IsEjected(now + Millis(1500)));
}

TEST_CASE("a load report is corrected by requests sent and completed since")
{
  SideState state;
  state.Begin();
  state.SetReported(10);
  state.Begin();
  CHECK(state.GetLoad() == 11);
  state.End();
  state.End();
  CHECK(state.GetLoad() == 9);
}

TEST_CASE("a prefix stays on its side; removing a side moves only its prefixes")
{
  auto pool = MakePool(10);
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t i = 1; i <= 500; ++i) {
    before[i] = Choose(pool, MakeQuery(i))->vm;
    CHECK(Choose(pool, MakeQuery(i))->vm == before[i]);
  }
  auto removedVm = pool.back().vm;
  pool.pop_back();
  for (const auto& [i, vm] : before) {
    if (vm != removedVm) {
      CHECK(Choose(pool, MakeQuery(i))->vm == vm);
    }
  }
}

TEST_CASE("bounded hashing keeps all sides near the mean load for a hot prefix")
{
  auto pool = MakePool(8);
  for (std::uint64_t i = 1; i <= 800; ++i) {
    auto query = MakeQuery(i);
    query.affinity = i % 4 == 0 ? query.affinity : 42;
    Choose(pool, query)->state->Begin();
  }
  auto mostLoaded = std::ranges::max(pool, {}, [](const Candidate& aCandidate) {
    return aCandidate.state->GetLoad();
  });
  CHECK(mostLoaded.state->GetLoad() <= 125);
}
