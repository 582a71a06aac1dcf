#include <doctest/doctest.h>

#include <dispatch/UpstreamBook.h>

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

struct Bed
{
  EngineModel model = MakeModel();
  UpstreamBook book;

  PlaceQuery MakeQuery() const
  {
    PlaceQuery query;
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

TEST_CASE("a draining, an empty and a foreign upstream get nothing")
{
  Bed bed;
  auto draining = MakeUpstream("draining");
  draining.draining = true;
  bed.book.Put(draining);
  bed.book.Put(MakeUpstream("empty", 0));
  auto foreign = MakeUpstream("foreign");
  foreign.service = "others";
  bed.book.Put(foreign);
  CHECK_FALSE(bed.book.FindPlace(bed.MakeQuery(), kNow));
  bed.book.Put(MakeUpstream("good"));
  auto place = bed.book.FindPlace(bed.MakeQuery(), kNow);
  REQUIRE(place);
  CHECK(place->upstream->record.id == "good");
  CHECK(place->version == 1);
}

TEST_CASE("an outage: with nothing that serves there is no prospect")
{
  Bed bed;
  CHECK_FALSE(bed.book.HasProspect(bed.MakeQuery(), kNow));
  bed.book.Put(MakeUpstream("empty", 0));
  auto draining = MakeUpstream("draining");
  draining.draining = true;
  bed.book.Put(draining);
  CHECK_FALSE(bed.book.HasProspect(bed.MakeQuery(), kNow));
  // A full one frees up.
  bed.book.Put(MakeUpstream("full"));
  bed.book.Find("full")->own.running = 100;
  CHECK_FALSE(bed.book.FindPlace(bed.MakeQuery(), kNow));
  CHECK(bed.book.HasProspect(bed.MakeQuery(), kNow));
  auto query = bed.MakeQuery();
  query.minVersion = 2;
  CHECK_FALSE(bed.book.HasProspect(query, kNow));
}

TEST_CASE(
  "an upstream that proved a word wrong is not asked before it says more")
{
  Bed bed;
  bed.book.Put(MakeUpstream("a"));
  auto a = bed.book.Find("a");
  auto query = bed.MakeQuery();
  REQUIRE(bed.book.FindPlace(query, kNow));
  bed.book.Doubt(*a, query, 1, kNow);
  CHECK_FALSE(bed.book.FindPlace(query, kNow + Millis(500)));
  CHECK_FALSE(bed.book.HasProspect(query, kNow + Millis(500)));
  // News of its side, or of the directory, or time.
  bed.book.TakeSideReport("a", { 1, true, 1 }, kNow + Millis(600));
  CHECK(bed.book.FindPlace(query, kNow + Millis(600)));
  bed.book.Doubt(*a, query, 1, kNow + Millis(600));
  CHECK_FALSE(bed.book.FindPlace(query, kNow + Millis(700)));
  bed.book.Put(MakeUpstream("a"));
  CHECK(bed.book.FindPlace(query, kNow + Millis(700)));
  bed.book.Doubt(*a, query, 1, kNow + Millis(700));
  CHECK(bed.book.FindPlace(query, kNow + Millis(9000)));
  // What it said meanwhile is believed.
  bed.book.Put(MakeUpstream("a", 2));
  bed.book.TakeSideReport("a", { 2, true, 1 }, kNow);
  bed.book.Doubt(*a, query, 1, kNow);
  CHECK(bed.book.FindPlace(query, kNow));
}

TEST_CASE("a part of the layers is no complete version")
{
  Bed bed;
  auto partial = MakeUpstream("partial");
  partial.held = { { "model", 2, 0, 8 } };
  bed.book.Put(partial);
  CHECK_FALSE(bed.book.FindPlace(bed.MakeQuery(), kNow));
}

TEST_CASE("requests go where least runs, other entries' included")
{
  Bed bed;
  bed.book.Put(MakeUpstream("a"));
  bed.book.Put(MakeUpstream("b"));
  auto a = bed.book.Find("a");
  bed.book.TakeEntryUse("other", { { a->hash, { 3, 0 } } }, kNow);
  bed.book.Find("b")->own.running = 1;
  CHECK(bed.book.FindPlace(bed.MakeQuery(), kNow)->upstream->record.id == "b");
  bed.book.ForgetEntry("other", kNow);
  CHECK(bed.book.FindPlace(bed.MakeQuery(), kNow)->upstream->record.id == "a");
}

TEST_CASE("changes of another entry's use replace what they name alone")
{
  Bed bed;
  bed.book.Put(MakeUpstream("a"));
  bed.book.Put(MakeUpstream("b"));
  auto a = bed.book.Find("a");
  auto b = bed.book.Find("b");
  bed.book.TakeEntryUse("other", { { a->hash, { 3, 70 } } }, kNow);
  bed.book.TakeEntryUse("third", { { a->hash, { 1, 10 } } }, kNow);
  bed.book.TakeEntryChanges("other", { { b->hash, { 2, 0 } } }, kNow);
  CHECK(a->GetUse() == UseCount{ 4, 80 });
  CHECK(b->GetUse() == UseCount{ 2, 0 });
  bed.book.TakeEntryChanges("other", { { a->hash, { 0, 0 } } }, kNow);
  CHECK(a->GetUse() == UseCount{ 1, 10 });
  // All that there is: what it does not name has ended.
  bed.book.TakeEntryUse("other", {}, kNow);
  CHECK(b->GetUse() == UseCount{ 0, 0 });
  bed.book.ForgetEntry("third", kNow);
  CHECK(a->GetUse() == UseCount{ 0, 0 });
}

TEST_CASE("another data centre only when the own one is busier")
{
  Bed bed;
  bed.book.Put(MakeUpstream("near"));
  auto far = MakeUpstream("a-far");
  far.dataCentre = "dc2";
  bed.book.Put(far);
  CHECK(bed.book.FindPlace(bed.MakeQuery(), kNow)->upstream->record.id ==
        "near");
  bed.book.Find("near")->own.running = 4;
  CHECK(bed.book.FindPlace(bed.MakeQuery(), kNow)->upstream->record.id ==
        "a-far");
}

TEST_CASE("an upstream with a full batch and a queue takes no more")
{
  Bed bed;
  bed.book.Put(MakeUpstream("a"));
  bed.book.Find("a")->own.running = 6;
  auto query = bed.MakeQuery();
  query.timeLeft = Millis(5000);
  CHECK_FALSE(bed.book.FindPlace(query, kNow));
  CHECK(bed.book.FindAnyPlace(query, kNow));
}

TEST_CASE("a place that would miss the objective is none")
{
  Bed bed;
  bed.book.Put(MakeUpstream("a"));
  auto query = bed.MakeQuery();
  query.timeLeft = Millis(50);
  CHECK_FALSE(bed.book.FindPlace(query, kNow));
}

TEST_CASE("versions: the least that will do, and the one preferred")
{
  Bed bed;
  bed.book.Put(MakeUpstream("old", 1));
  bed.book.Put(MakeUpstream("new", 2));
  auto query = bed.MakeQuery();
  query.minVersion = 2;
  CHECK(bed.book.FindPlace(query, kNow)->upstream->record.id == "new");
  query.minVersion = 0;
  query.preferredVersion = 1;
  CHECK(bed.book.FindPlace(query, kNow)->upstream->record.id == "old");
}

TEST_CASE("a side's fresh word goes before the directory's")
{
  Bed bed;
  bed.book.Put(MakeUpstream("a", 0));
  bed.book.TakeSideReport("a", { 3, true, 1 }, kNow);
  CHECK(bed.book.FindPlace(bed.MakeQuery(), kNow)->version == 3);
  bed.book.TakeSideReport("a", { 3, false, 1 }, kNow);
  CHECK_FALSE(bed.book.FindPlace(bed.MakeQuery(), kNow));
  auto later = kNow + Millis(60000);
  CHECK_FALSE(bed.book.FindPlace(bed.MakeQuery(), later));
}

TEST_CASE("another incarnation starts with a clean record")
{
  Bed bed;
  bed.book.Put(MakeUpstream("a"));
  auto first = bed.book.Find("a");
  first->health.AvoidUntil(kNow + Millis(5000));
  bed.book.Put(MakeUpstream("a"));
  CHECK(bed.book.Find("a") == first);
  auto again = MakeUpstream("a");
  again.startedMs = 2;
  bed.book.Put(again);
  CHECK(bed.book.Find("a") != first);
  CHECK(bed.book.FindPlace(bed.MakeQuery(), kNow));
}

TEST_CASE("upstreams that can't be reached, or fail often, are left alone")
{
  UpstreamHealth health;
  health.Note(Outcome::Unreachable, kNow);
  CHECK_FALSE(health.IsUsable(kNow));
  CHECK(health.IsUsable(kNow + Millis(4000)));

  UpstreamHealth failing;
  for (int i = 0; i < 8; ++i) {
    failing.Note(Outcome::Failed, kNow);
  }
  CHECK_FALSE(failing.IsUsable(kNow));

  UpstreamHealth mixed;
  for (int i = 0; i < 40; ++i) {
    mixed.Note(i % 7 == 0 ? Outcome::Failed : Outcome::Served, kNow);
  }
  CHECK(mixed.IsUsable(kNow));

  UpstreamHealth refusing;
  for (int i = 0; i < 40; ++i) {
    refusing.Note(Outcome::Refused, kNow);
  }
  CHECK(refusing.IsUsable(kNow));
}
