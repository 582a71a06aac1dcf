#include <doctest/doctest.h>

#include <dispatch/UpstreamRegistry.h>

using namespace waxwingyoke;
using namespace waxwingyoke::dispatch;
using utils::Millis;

namespace {

constexpr Millis kNow(10000);

platform::Upstream
MakeUpstream(const std::string& aId, std::uint64_t aVersion = 1)
{
  platform::Upstream upstream;
  upstream.id = aId;
  upstream.service = "engines";
  upstream.endpoint = { "10.0.0.1", 80 };
  upstream.dataCentre = "dc1";
  upstream.slots = 4;
  upstream.startedMs = 1;
  if (aVersion > 0) {
    upstream.held = { { "model", aVersion, 0, 16 } };
  }
  return upstream;
}

EngineModel
MakeModel()
{
  platform::EngineTraits traits;
  traits.slots = 4;
  traits.stepsPerPass = 5;
  traits.stepMs = 9;
  traits.readTokensPerMs = 20;
  traits.usualPromptTokens = 1000;
  traits.usualAnswerTokens = 100;
  return EngineModel(traits);
}

struct Fixture
{
  EngineModel model = MakeModel();
  UpstreamRegistry registry;

  PlacementQuery MakeQuery() const
  {
    PlacementQuery query;
    query.service = "engines";
    query.engine = &model;
    query.model = "model";
    query.layers = 16;
    query.promptTokens = 500;
    query.dataCentre = "dc1";
    query.timeLeft = Millis(500);
    return query;
  }
};

} // namespace

TEST_CASE("upstreams that drain, hold no weights or serve another service get "
          "no requests")
{
  Fixture fixture;
  auto draining = MakeUpstream("draining");
  draining.draining = true;
  fixture.registry.Put(draining);
  fixture.registry.Put(MakeUpstream("empty", 0));
  auto foreign = MakeUpstream("foreign");
  foreign.service = "others";
  fixture.registry.Put(foreign);
  CHECK_FALSE(fixture.registry.FindPlacement(fixture.MakeQuery(), kNow));
  fixture.registry.Put(MakeUpstream("good"));
  auto placement = fixture.registry.FindPlacement(fixture.MakeQuery(), kNow);
  REQUIRE(placement);
  CHECK(placement->upstream->record.id == "good");
  CHECK(placement->version == 1);
}

TEST_CASE("outage: a full upstream serves, an empty or draining one does not")
{
  Fixture fixture;
  CHECK_FALSE(fixture.registry.HasServingUpstream(fixture.MakeQuery(), kNow));
  fixture.registry.Put(MakeUpstream("empty", 0));
  auto draining = MakeUpstream("draining");
  draining.draining = true;
  fixture.registry.Put(draining);
  CHECK_FALSE(fixture.registry.HasServingUpstream(fixture.MakeQuery(), kNow));
  // A full upstream still serves: its slots will be released.
  fixture.registry.Put(MakeUpstream("full"));
  fixture.registry.Find("full")->own.running = 100;
  CHECK_FALSE(fixture.registry.FindPlacement(fixture.MakeQuery(), kNow));
  CHECK(fixture.registry.HasServingUpstream(fixture.MakeQuery(), kNow));
  auto query = fixture.MakeQuery();
  query.minVersion = 2;
  CHECK_FALSE(fixture.registry.HasServingUpstream(query, kNow));
}

// The directory or a side may list a version that the upstream does not hold
// any more, e.g. after a power failure; requests would be rejected repeatedly.
TEST_CASE(
  "an upstream that rejected its listed version is excluded until a new "
  "report or a timeout")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("a"));
  auto a = fixture.registry.Find("a");
  auto query = fixture.MakeQuery();
  REQUIRE(fixture.registry.FindPlacement(query, kNow));
  fixture.registry.MarkStale(*a, query, 1, kNow);
  CHECK_FALSE(fixture.registry.FindPlacement(query, kNow + Millis(500)));
  CHECK_FALSE(fixture.registry.HasServingUpstream(query, kNow + Millis(500)));
  // A report of its side, a record of the directory or the timeout ends it.
  fixture.registry.ApplySideReport("a", { 1, true, 1 }, kNow + Millis(600));
  CHECK(fixture.registry.FindPlacement(query, kNow + Millis(600)));
  fixture.registry.MarkStale(*a, query, 1, kNow + Millis(600));
  CHECK_FALSE(fixture.registry.FindPlacement(query, kNow + Millis(700)));
  fixture.registry.Put(MakeUpstream("a"));
  CHECK(fixture.registry.FindPlacement(query, kNow + Millis(700)));
  fixture.registry.MarkStale(*a, query, 1, kNow + Millis(700));
  CHECK(fixture.registry.FindPlacement(query, kNow + Millis(9000)));
  // A version that was reported while the request was in flight stays valid.
  fixture.registry.Put(MakeUpstream("a", 2));
  fixture.registry.ApplySideReport("a", { 2, true, 1 }, kNow);
  fixture.registry.MarkStale(*a, query, 1, kNow);
  CHECK(fixture.registry.FindPlacement(query, kNow));
}

TEST_CASE("a version with missing layers is not served")
{
  Fixture fixture;
  auto partial = MakeUpstream("partial");
  partial.held = { { "model", 2, 0, 8 } };
  fixture.registry.Put(partial);
  CHECK_FALSE(fixture.registry.FindPlacement(fixture.MakeQuery(), kNow));
}

TEST_CASE("the least loaded upstream is chosen, with other entries' load")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("a"));
  fixture.registry.Put(MakeUpstream("b"));
  auto a = fixture.registry.Find("a");
  fixture.registry.ApplyEntryUse("other", { { a->hash, { 3, 0 } } }, kNow);
  fixture.registry.Find("b")->own.running = 1;
  CHECK(fixture.registry.FindPlacement(fixture.MakeQuery(), kNow)
          ->upstream->record.id == "b");
  fixture.registry.RemoveEntry("other", kNow);
  CHECK(fixture.registry.FindPlacement(fixture.MakeQuery(), kNow)
          ->upstream->record.id == "a");
}

TEST_CASE("changes of another entry's load apply to the listed upstreams only")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("a"));
  fixture.registry.Put(MakeUpstream("b"));
  auto a = fixture.registry.Find("a");
  auto b = fixture.registry.Find("b");
  fixture.registry.ApplyEntryUse("other", { { a->hash, { 3, 70 } } }, kNow);
  fixture.registry.ApplyEntryUse("third", { { a->hash, { 1, 10 } } }, kNow);
  fixture.registry.ApplyEntryChanges("other", { { b->hash, { 2, 0 } } }, kNow);
  CHECK(a->GetUse() == UseCount{ 4, 80 });
  CHECK(b->GetUse() == UseCount{ 2, 0 });
  fixture.registry.ApplyEntryChanges("other", { { a->hash, { 0, 0 } } }, kNow);
  CHECK(a->GetUse() == UseCount{ 1, 10 });
  // A complete report: load at upstreams that it does not list is removed.
  fixture.registry.ApplyEntryUse("other", {}, kNow);
  CHECK(b->GetUse() == UseCount{ 0, 0 });
  fixture.registry.RemoveEntry("third", kNow);
  CHECK(a->GetUse() == UseCount{ 0, 0 });
}

TEST_CASE("another data centre is chosen only when the local one is busier")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("near"));
  auto remote = MakeUpstream("a-far");
  remote.dataCentre = "dc2";
  fixture.registry.Put(remote);
  CHECK(fixture.registry.FindPlacement(fixture.MakeQuery(), kNow)
          ->upstream->record.id == "near");
  fixture.registry.Find("near")->own.running = 4;
  CHECK(fixture.registry.FindPlacement(fixture.MakeQuery(), kNow)
          ->upstream->record.id == "a-far");
}

TEST_CASE("an upstream with a full batch and queue gets no more requests")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("a"));
  fixture.registry.Find("a")->own.running = 6;
  auto query = fixture.MakeQuery();
  query.timeLeft = Millis(5000);
  CHECK_FALSE(fixture.registry.FindPlacement(query, kNow));
  CHECK(fixture.registry.FindFallbackPlacement(query, kNow));
}

TEST_CASE("a placement that would miss the objective is not returned")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("a"));
  auto query = fixture.MakeQuery();
  query.timeLeft = Millis(50);
  CHECK_FALSE(fixture.registry.FindPlacement(query, kNow));
}

TEST_CASE("placement respects the minimum and the preferred version")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("old", 1));
  fixture.registry.Put(MakeUpstream("new", 2));
  auto query = fixture.MakeQuery();
  query.minVersion = 2;
  CHECK(fixture.registry.FindPlacement(query, kNow)->upstream->record.id ==
        "new");
  query.minVersion = 0;
  query.preferredVersion = 1;
  CHECK(fixture.registry.FindPlacement(query, kNow)->upstream->record.id ==
        "old");
}

TEST_CASE("a fresh report of the side takes precedence over the directory")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("a", 0));
  fixture.registry.ApplySideReport("a", { 3, true, 1 }, kNow);
  CHECK(fixture.registry.FindPlacement(fixture.MakeQuery(), kNow)->version ==
        3);
  fixture.registry.ApplySideReport("a", { 3, false, 1 }, kNow);
  CHECK_FALSE(fixture.registry.FindPlacement(fixture.MakeQuery(), kNow));
  auto later = kNow + Millis(60000);
  CHECK_FALSE(fixture.registry.FindPlacement(fixture.MakeQuery(), later));
}

TEST_CASE("a restarted upstream starts without recorded failures")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("a"));
  auto first = fixture.registry.Find("a");
  first->health.AvoidUntil(kNow + Millis(5000));
  fixture.registry.Put(MakeUpstream("a"));
  CHECK(fixture.registry.Find("a") == first);
  auto again = MakeUpstream("a");
  again.startedMs = 2;
  fixture.registry.Put(again);
  CHECK(fixture.registry.Find("a") != first);
  CHECK(fixture.registry.FindPlacement(fixture.MakeQuery(), kNow));
}

// Guards against an upstream that gets nothing at its new address, because
// connects to the one that it left have failed.
TEST_CASE("an upstream at another address starts without recorded failures")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("a"));
  auto state = fixture.registry.Find("a");
  state->own = { 1, 100 };
  for (int i = 0; i < 4; ++i) {
    state->health.RecordOutcome(Outcome::Unreachable, kNow + Millis(i * 5000));
  }
  auto lastFailureAt = kNow + Millis(15000);
  auto query = fixture.MakeQuery();
  fixture.registry.Put(MakeUpstream("a"));
  CHECK_FALSE(fixture.registry.FindPlacement(query, lastFailureAt));
  auto moved = MakeUpstream("a");
  moved.endpoint = { "10.0.0.2", 80 };
  SUBCASE("what it asked for still holds")
  {
    state->pausedUntil = lastFailureAt + Millis(1);
    fixture.registry.Put(moved);
    CHECK_FALSE(fixture.registry.FindPlacement(query, lastFailureAt));
  }
  fixture.registry.Put(moved);
  auto placement =
    fixture.registry.FindPlacement(query, lastFailureAt + Millis(1));
  REQUIRE(placement);
  CHECK(placement->upstream->record.endpoint == moved.endpoint);
  // The same incarnation still runs what was sent to the old address.
  CHECK(placement->upstream->own == UseCount{ 1, 100 });
  // The first failure there is not taken for one of a series.
  placement->upstream->health.RecordOutcome(Outcome::Unreachable,
                                            lastFailureAt);
  CHECK(fixture.registry.FindPlacement(query, lastFailureAt + Millis(500)));
}

// The directory reports a leave late, and after a restore of the log it may
// state an older state again.
TEST_CASE("leave: an upstream that announced its exit gets no work again")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("a"));
  auto query = fixture.MakeQuery();
  REQUIRE(fixture.registry.FindPlacement(query, kNow));
  fixture.registry.RecordLeave(*fixture.registry.Find("a"), kNow);
  CHECK_FALSE(fixture.registry.FindPlacement(query, kNow));
  CHECK_FALSE(fixture.registry.FindFallbackPlacement(query, kNow));
  CHECK_FALSE(fixture.registry.HasServingUpstream(query, kNow));
  CHECK(fixture.registry.ListLeavingSince(kNow).size() == 1);
  CHECK(fixture.registry.ListLeavingSince(kNow + Millis(1)).empty());
  // Heartbeats and reappearance under the same start time change nothing.
  fixture.registry.Put(MakeUpstream("a"));
  CHECK_FALSE(fixture.registry.FindFallbackPlacement(query, kNow));
  fixture.registry.Remove("a");
  fixture.registry.Put(MakeUpstream("a"));
  CHECK_FALSE(fixture.registry.FindFallbackPlacement(query, kNow));
  // A new incarnation under the same id serves.
  auto restarted = MakeUpstream("a");
  restarted.startedMs = 2;
  fixture.registry.Put(restarted);
  CHECK(fixture.registry.FindPlacement(query, kNow));
  // Another entry's report of the old incarnation doesn't apply to it.
  auto hash = fixture.registry.Find("a")->hash;
  fixture.registry.ApplyLeave(hash, 1);
  CHECK(fixture.registry.FindPlacement(query, kNow));
  fixture.registry.ApplyLeave(hash, 2);
  CHECK_FALSE(fixture.registry.FindPlacement(query, kNow));
  CHECK(fixture.registry.ListLeavingSince(kNow).empty());
}

TEST_CASE("leave: a record that was draining and is ready again is not used")
{
  Fixture fixture;
  auto draining = MakeUpstream("a");
  draining.draining = true;
  fixture.registry.Put(draining);
  fixture.registry.Put(MakeUpstream("a"));
  CHECK_FALSE(
    fixture.registry.FindFallbackPlacement(fixture.MakeQuery(), kNow));
}

TEST_CASE("pause: a paused upstream gets nothing, then serves at once")
{
  Fixture fixture;
  fixture.registry.Put(MakeUpstream("a"));
  fixture.registry.Put(MakeUpstream("b"));
  auto query = fixture.MakeQuery();
  auto a = fixture.registry.Find("a");
  auto b = fixture.registry.Find("b");
  a->pausedUntil = kNow + Millis(900);
  auto placement = fixture.registry.FindPlacement(query, kNow);
  REQUIRE(placement);
  CHECK(placement->upstream == b);
  CHECK_FALSE(fixture.registry.FindOpening(query, kNow));
  b->pausedUntil = kNow + Millis(400);
  CHECK_FALSE(fixture.registry.FindPlacement(query, kNow));
  CHECK_FALSE(fixture.registry.FindFallbackPlacement(query, kNow));
  CHECK(fixture.registry.HasServingUpstream(query, kNow));
  auto opening = fixture.registry.FindOpening(query, kNow);
  REQUIRE(opening);
  CHECK(opening->at == kNow + Millis(400));
  CHECK(opening->interval == Millis(0));
  CHECK(fixture.registry.FindPlacement(query, kNow + Millis(400)));
  // It was no fault of the upstream.
  CHECK(b->health.GetFailedShare() == 0);
}

// Entries that the log turned away learn of a leave only as a missing entry.
TEST_CASE("lapse: an upstream in doubt is used only if the others can't do")
{
  Fixture fixture;
  for (const auto* id : { "a", "b", "c", "d" }) {
    fixture.registry.Put(MakeUpstream(id));
  }
  auto query = fixture.MakeQuery();
  fixture.registry.SetInDoubt("a", true);
  query.excluded = { "b", "c", "d" };
  CHECK_FALSE(fixture.registry.FindFallbackPlacement(query, kNow));
  fixture.registry.SetInDoubt("b", true);
  CHECK(fixture.registry.FindFallbackPlacement(query, kNow));
  // Registered again.
  fixture.registry.SetInDoubt("b", false);
  CHECK_FALSE(fixture.registry.FindFallbackPlacement(query, kNow));
  fixture.registry.SetInDoubt("a", false);
  CHECK(fixture.registry.FindFallbackPlacement(query, kNow));
}

TEST_CASE("upstreams that are unreachable or fail often are ejected")
{
  UpstreamHealth health;
  health.RecordOutcome(Outcome::Unreachable, kNow);
  CHECK_FALSE(health.IsUsable(kNow));
  CHECK(health.IsUsable(kNow + Millis(4000)));

  UpstreamHealth failing;
  for (int i = 0; i < 8; ++i) {
    failing.RecordOutcome(Outcome::Failed, kNow);
  }
  CHECK_FALSE(failing.IsUsable(kNow));

  UpstreamHealth mixed;
  for (int i = 0; i < 40; ++i) {
    mixed.RecordOutcome(i % 7 == 0 ? Outcome::Failed : Outcome::Served, kNow);
  }
  CHECK(mixed.IsUsable(kNow));

  UpstreamHealth refusing;
  for (int i = 0; i < 40; ++i) {
    refusing.RecordOutcome(Outcome::Refused, kNow);
  }
  CHECK(refusing.IsUsable(kNow));
}

namespace {

/** One engine in each of three regions, and one in an unlisted data centre. */
void
PutRegions(Fixture& aFixture)
{
  aFixture.registry.SetRegions(
    { { "dc1", "r1" }, { "dc2", "r2" }, { "dc3", "r3" }, { "dc4", "" } });
  for (const auto* number : { "1", "2", "3", "4", "5" }) {
    auto upstream = MakeUpstream(std::string("u") + number);
    upstream.dataCentre = std::string("dc") + number;
    aFixture.registry.Put(upstream);
  }
}

} // namespace

// Guards against a bound request that is sent to an upstream of another region
// because its own has none that is free, sound or not yet tried.
TEST_CASE("regions: bound requests are placed in their regions only")
{
  Fixture fixture;
  PutRegions(fixture);
  auto& registry = fixture.registry;
  auto query = fixture.MakeQuery();
  auto find = [&](auto aFind) {
    auto placement = (registry.*aFind)(query, kNow);
    return placement ? placement->upstream->record.id : std::string();
  };
  auto findPlacement = &UpstreamRegistry::FindPlacement;
  auto findFallback = &UpstreamRegistry::FindFallbackPlacement;
  // The nearest one, as its data centre is the entry's.
  CHECK(find(findPlacement) == "u1");
  query.regions = { { "r2", "" } };
  CHECK(find(findPlacement) == "u2");
  CHECK(find(findFallback) == "u2");
  registry.Find("u2")->own.running = 100;
  CHECK(find(findPlacement).empty());
  CHECK(find(findFallback) == "u2");
  CHECK(registry.HasServingUpstream(query, kNow));
  query.excluded = { "u2" };
  CHECK(find(findFallback).empty());
  query.onlyUpstream = "u1";
  CHECK(find(findFallback).empty());
  query.excluded.clear();
  query.onlyUpstream.clear();
  registry.Find("u2")->leaving = true;
  CHECK(find(findFallback).empty());
  CHECK_FALSE(registry.HasServingUpstream(query, kNow));
  query.engine = nullptr;
  CHECK(find(findFallback).empty());
  query.regions = { { "r2", "r3" } };
  CHECK(find(findPlacement) == "u3");
  // Closed, or bound to a region that no data centre has.
  for (const auto& regions : { std::set<std::string>{}, { "" }, { "r9" } }) {
    query.regions = regions;
    CHECK(find(findFallback).empty());
    CHECK_FALSE(registry.HasServingUpstream(query, kNow));
  }
}

TEST_CASE("regions: the regions of data centres may be set and records change")
{
  Fixture fixture;
  PutRegions(fixture);
  auto query = fixture.MakeQuery();
  query.regions = { { "r2" } };
  fixture.registry.SetRegions({ { "dc3", "r2" } });
  auto placement = fixture.registry.FindPlacement(query, kNow);
  REQUIRE(placement);
  CHECK(placement->upstream->record.id == "u3");
  auto moved = MakeUpstream("u3");
  moved.dataCentre = "dc1";
  fixture.registry.Put(moved);
  CHECK_FALSE(fixture.registry.FindPlacement(query, kNow));
}

// Guards against a Retry-After for upstreams that the request may not use.
TEST_CASE("regions: the next opening is that of the allowed regions")
{
  Fixture fixture;
  PutRegions(fixture);
  auto& registry = fixture.registry;
  registry.Find("u2")->pausedUntil = kNow + Millis(700);
  registry.Find("u3")->pausedUntil = kNow + Millis(300);
  auto query = fixture.MakeQuery();
  CHECK_FALSE(registry.FindOpening(query, kNow));
  query.regions = { { "r2" } };
  auto opening = registry.FindOpening(query, kNow);
  REQUIRE(opening);
  CHECK(opening->at == kNow + Millis(700));
  query.regions = { { "r2", "r3" } };
  opening = registry.FindOpening(query, kNow);
  REQUIRE(opening);
  CHECK(opening->at == kNow + Millis(300));
}

// Guards against bound requests that are refused although the upstreams of
// their region are only in doubt, as those of other regions are listed.
TEST_CASE("regions: upstreams in doubt are needed if their region has no other")
{
  Fixture fixture;
  PutRegions(fixture);
  auto& registry = fixture.registry;
  registry.SetInDoubt("u2", true);
  auto query = fixture.MakeQuery();
  query.regions = { { "r2" } };
  auto placement = registry.FindPlacement(query, kNow);
  REQUIRE(placement);
  CHECK(placement->upstream->record.id == "u2");
  query.regions = { { "r1", "r2", "r3" } };
  query.dataCentre = "dc2";
  placement = registry.FindPlacement(query, kNow);
  REQUIRE(placement);
  CHECK(placement->upstream->record.id != "u2");
}

namespace {

/** An upstream in each of two data centres. */
struct TwoDataCentres : Fixture
{
  TwoDataCentres()
  {
    registry.Put(MakeUpstream("here"));
    auto there = MakeUpstream("there");
    there.dataCentre = "dc2";
    registry.Put(there);
  }

  /** The upstreams of the first and of the fallback placement, if any. */
  std::string FindIds(const PlacementQuery& aQuery) const
  {
    auto find = [](const std::optional<Placement>& aPlacement) {
      return aPlacement ? aPlacement->upstream->record.id : "-";
    };
    return find(registry.FindPlacement(aQuery, kNow)) + " " +
           find(registry.FindFallbackPlacement(aQuery, kNow));
  }
};

} // namespace

// Guards against requests that reach an evacuated data centre, and against one
// that gets no requests after its evacuation has ended.
TEST_CASE("evacuation: upstreams there get no request until it ends")
{
  TwoDataCentres fixture;
  auto query = fixture.MakeQuery();
  CHECK(fixture.FindIds(query) == "here here");
  fixture.registry.SetEvacuated({ "dc1", "nowhere" });
  CHECK(fixture.FindIds(query) == "there there");
  CHECK(fixture.registry.HasServingUpstream(query, kNow));
  CHECK_FALSE(fixture.registry.IsEvacuated(query, kNow));
  // Also upstreams that register, move there or restart meanwhile.
  fixture.registry.Put(MakeUpstream("late"));
  fixture.registry.Put(MakeUpstream("there"));
  auto restarted = MakeUpstream("here");
  restarted.startedMs = 2;
  fixture.registry.Put(restarted);
  CHECK(fixture.FindIds(query) == "- -");
  CHECK_FALSE(fixture.registry.HasServingUpstream(query, kNow));
  CHECK(fixture.registry.IsEvacuated(query, kNow));
  fixture.registry.SetEvacuated({});
  CHECK(fixture.FindIds(query) != "- -");
  CHECK(fixture.registry.HasServingUpstream(query, kNow));
  CHECK_FALSE(fixture.registry.IsEvacuated(query, kNow));
}

// Guards against work that has begun, which is placed at any cost otherwise:
// the resume of a stream, also one that may return to a certain upstream.
TEST_CASE("evacuation: neither a resumed stream nor a second send goes there")
{
  TwoDataCentres fixture;
  fixture.registry.SetEvacuated({ "dc1" });
  auto query = fixture.MakeQuery();
  query.excluded = { "there" };
  query.preferredVersion = 1;
  CHECK(fixture.FindIds(query) == "- -");
  query.excluded = {};
  query.onlyUpstream = "here";
  CHECK(fixture.FindIds(query) == "- -");
  PlacementQuery plain;
  plain.service = "engines";
  plain.timeLeft = Millis(500);
  plain.dataCentre = "dc1";
  CHECK(fixture.FindIds(plain) == "there there");
}

// Guards against a Retry-After that names the end of a pause of an upstream
// that the request may not use.
TEST_CASE("evacuation: an opening takes only the other data centres into "
          "account")
{
  TwoDataCentres fixture;
  fixture.registry.Find("here")->pausedUntil = kNow + Millis(100);
  fixture.registry.Find("there")->pausedUntil = kNow + Millis(900);
  auto query = fixture.MakeQuery();
  REQUIRE(fixture.registry.FindOpening(query, kNow));
  CHECK(fixture.registry.FindOpening(query, kNow)->at == kNow + Millis(100));
  fixture.registry.SetEvacuated({ "dc1" });
  REQUIRE(fixture.registry.FindOpening(query, kNow));
  CHECK(fixture.registry.FindOpening(query, kNow)->at == kNow + Millis(900));
  fixture.registry.SetEvacuated({ "dc1", "dc2" });
  CHECK_FALSE(fixture.registry.FindOpening(query, kNow));
  CHECK(fixture.registry.IsEvacuated(query, kNow));
  query.service = "another";
  CHECK_FALSE(fixture.registry.IsEvacuated(query, kNow));
}

// Guards against an evacuation that lets upstreams in doubt, which are needed
// only if the others can't carry the load, be used or not by mistake.
TEST_CASE("evacuation: evacuated upstreams don't count for those in doubt")
{
  TwoDataCentres fixture;
  auto second = MakeUpstream("second");
  second.dataCentre = "dc2";
  fixture.registry.Put(second);
  fixture.registry.Put(MakeUpstream("third"));
  fixture.registry.SetInDoubt("there", true);
  auto query = fixture.MakeQuery();
  query.excluded = { "here", "second", "third" };
  CHECK(fixture.FindIds(query) == "- -");
  fixture.registry.SetEvacuated({ "dc1" });
  CHECK(fixture.FindIds(query) == "there there");
}
