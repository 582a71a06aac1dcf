// Loads that the placement must stand, played on models of the upstreams
// with a clock that is stepped by hand.

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include <dispatch/PredictionBias.h>
#include <dispatch/ReturnPlanner.h>
#include <dispatch/UpstreamBook.h>
#include <dispatch/WaitingLine.h>
#include <utils/Hash.h>

using namespace waxwingyoke;
using namespace waxwingyoke::dispatch;
using utils::Millis;

namespace {

constexpr std::uint32_t kSlots = 16;

platform::EngineTraits
MakeTraits()
{
  platform::EngineTraits traits;
  traits.slots = kSlots;
  traits.stepsPerPass = 5;
  traits.stepMs = 9;
  traits.stepMsPerRequest = 0.04;
  traits.readTokensPerMs = 20;
  traits.usualPromptTokens = 1000;
  traits.usualAnswerTokens = 100;
  return traits;
}

/** Upstreams that hold each request for a fixed time. */
class Fleet
{
public:
  explicit Fleet(int aUpstreams)
  {
    for (int i = 0; i < aUpstreams; ++i) {
      Add("up" + std::to_string(i));
    }
  }

  void Add(const std::string& aId)
  {
    platform::Upstream upstream;
    upstream.id = aId;
    upstream.service = "engines";
    upstream.slots = kSlots;
    upstream.dataCentre = "dc1";
    upstream.held = { { "model", 1, 0, 1 } };
    book.Put(upstream);
  }

  bool Offer(Millis aNow)
  {
    Finish(aNow);
    PlaceQuery query;
    query.service = "engines";
    query.engine = &model;
    query.model = "model";
    query.layers = 1;
    query.promptTokens = 1000;
    query.dataCentre = "dc1";
    query.timeLeft = Millis(450);
    auto place = book.FindPlace(query, aNow);
    if (place) {
      ++place->upstream->own.running;
      running_.push_back({ aNow + kHold, place->upstream });
    }
    return place.has_value();
  }

  std::uint32_t GetMost() const
  {
    std::uint32_t most = 0;
    for (const auto& [id, state] : book.GetAll()) {
      most = std::max(most, state->own.running);
    }
    return most;
  }

  EngineModel model{ MakeTraits() };
  UpstreamBook book;

private:
  static constexpr Millis kHold{ 2000 };

  struct Running
  {
    Millis until;
    UpstreamPointer upstream;
  };

  void Finish(Millis aNow)
  {
    while (!running_.empty() && running_.front().until <= aNow) {
      --running_.front().upstream->own.running;
      running_.pop_front();
    }
  }

  std::deque<Running> running_;
};

} // namespace

TEST_CASE("flash crowd: upstreams fill up evenly and no queue hides")
{
  Fleet fleet(4);
  int taken = 0;
  for (int i = 0; i < 500; ++i) {
    taken += fleet.Offer(Millis(1000)) ? 1 : 0;
  }
  CHECK(taken >= 4 * static_cast<int>(kSlots));
  CHECK(fleet.GetMost() <= kSlots + 2);
}

TEST_CASE("overload: half of twice the capacity is taken, all the time")
{
  Fleet fleet(4);
  int offered = 0;
  int taken = 0;
  // 64 slots held for 2 s make 32 a second; 64 are offered.
  for (std::int64_t ms = 0; ms < 20000; ms += 1000 / 64) {
    ++offered;
    taken += fleet.Offer(Millis(ms)) ? 1 : 0;
  }
  CHECK(taken > offered * 45 / 100);
  CHECK(fleet.GetMost() <= kSlots + 2);
}

TEST_CASE("cold fleet: an added upstream takes work at once")
{
  Fleet fleet(1);
  while (fleet.Offer(Millis(1000))) {
  }
  fleet.Add("added");
  CHECK(fleet.Offer(Millis(1000)));
  CHECK(fleet.book.Find("added")->own.running == 1);
}

TEST_CASE("slow upstream: its pace sends work elsewhere")
{
  Fleet fleet(2);
  fleet.book.TakeSideReport("up0", { 1, true, 6 }, Millis(1000));
  for (int i = 0; i < 8; ++i) {
    fleet.Offer(Millis(1000));
  }
  CHECK(fleet.book.Find("up0")->own.running == 0);
  CHECK(fleet.book.Find("up1")->own.running == 8);
}

TEST_CASE("retry storm: refused callers get moments of their own")
{
  ReturnPlanner planner;
  for (std::int64_t ms = 1000; ms < 3000; ms += 20) {
    planner.NoteRelease(Millis(ms));
  }
  std::vector<Millis> returns(20);
  std::ranges::generate(
    returns, [&planner] { return planner.PlanReturn(Millis(3000)); });
  CHECK(std::ranges::is_sorted(returns));
  // A quarter of 50 releases a second is one place in 80 ms.
  CHECK((returns.back() - returns.front()) >= Millis(19 * 70));
  CHECK(returns.front() >= Millis(100));
}

TEST_CASE("thundering herd: those who wait are served by rank, then by age")
{
  WaitingLine line;
  std::vector<int> served;
  int free = 0;
  auto join = [&](int aName, int aPriority, bool aReturned, Millis aAt) {
    Waiter waiter;
    waiter.priority = aPriority;
    waiter.returned = aReturned;
    waiter.arrived = aAt;
    waiter.tryTake = [&free] { return free > 0 && free-- > 0; };
    waiter.wake = [&served, aName] { served.push_back(aName); };
    return line.Join(std::move(waiter));
  };
  join(1, 2, false, Millis(1));
  join(2, 1, false, Millis(3));
  join(3, 1, true, Millis(4));
  join(4, 1, false, Millis(2));
  free = 2;
  line.Serve();
  CHECK(served == std::vector<int>{ 4, 2 });
  free = 5;
  line.Serve();
  CHECK(served == std::vector<int>{ 4, 2, 3, 1 });
}

TEST_CASE("overload: a long line costs a few tries, not one a waiter")
{
  WaitingLine line;
  int tries = 0;
  for (int i = 0; i < 500; ++i) {
    Waiter waiter;
    waiter.arrived = Millis(i);
    waiter.tryTake = [&tries] {
      ++tries;
      return false;
    };
    line.Join(std::move(waiter));
  }
  line.Serve();
  CHECK(tries < 10);
}

TEST_CASE("overload: one that needs more does not hold up the next")
{
  WaitingLine line;
  bool isServed = false;
  Waiter large;
  large.arrived = Millis(1);
  large.tryTake = [] { return false; };
  line.Join(std::move(large));
  Waiter small;
  small.arrived = Millis(2);
  small.tryTake = [] { return true; };
  small.wake = [&isServed] { isServed = true; };
  line.Join(std::move(small));
  line.Serve();
  CHECK(isServed);
}

TEST_CASE("flash crowd: entries that know nothing of each other part ways")
{
  constexpr std::uint64_t kEntries = 5;
  constexpr int kUpstreams = 15;
  std::map<std::string, int> sent;
  for (std::uint64_t entry = 0; entry < kEntries; ++entry) {
    Fleet fleet(kUpstreams);
    PlaceQuery query;
    query.service = "engines";
    query.engine = &fleet.model;
    query.model = "model";
    query.layers = 1;
    query.promptTokens = 1000;
    query.dataCentre = "dc1";
    query.timeLeft = Millis(450);
    query.entryHash = utils::MixBits(entry + 1);
    for (int i = 0; i < 3; ++i) {
      auto place = fleet.book.FindPlace(query, Millis(1000));
      REQUIRE(place);
      ++place->upstream->own.running;
      place->upstream->own.unreadTokens += 1000;
      ++sent[place->upstream->record.id];
    }
  }
  // Without a preference all take the same three, five requests each.
  auto most = std::ranges::max_element(
    sent, {}, [](const auto& aRow) { return aRow.second; });
  CHECK(most->second <= 3);
  CHECK(sent.size() >= 8);
}

TEST_CASE("overload: first events that come late lower what is taken")
{
  PredictionBias bias;
  for (int i = 0; i < 200; ++i) {
    bias.Note(150, 450, Millis(1000));
  }
  CHECK(bias.GetMs(Millis(1000)) > 200);
  Fleet fleet(4);
  PlaceQuery query;
  query.service = "engines";
  query.engine = &fleet.model;
  query.model = "model";
  query.layers = 1;
  query.promptTokens = 1000;
  query.timeLeft = Millis(450);
  auto count = [&] {
    int taken = 0;
    while (auto place = fleet.book.FindPlace(query, Millis(1000))) {
      ++place->upstream->own.running;
      ++taken;
    }
    for (const auto& [id, state] : fleet.book.GetAll()) {
      state->own.running = 0;
    }
    return taken;
  };
  int before = count();
  query.biasMs = bias.GetMs(Millis(1000));
  CHECK(count() < before);
  // Were all refused there would be nothing to learn from: it fades.
  CHECK(bias.GetMs(Millis(8000)) < 5);
  // They come in time again: what is taken grows back.
  for (int i = 0; i < 300; ++i) {
    bias.Note(150, 150, Millis(1000));
  }
  query.biasMs = bias.GetMs(Millis(1000));
  CHECK(count() == before);
}

namespace {

constexpr std::uint64_t kRivals = 5;

// Entries of one region in which upstream data centre dc1 lies; each knows the
// others.
std::vector<SlotTurns>
MakeRivals()
{
  std::vector<SlotTurns> turns;
  for (std::uint64_t own = 0; own < kRivals; ++own) {
    turns.emplace_back(
      SlotRival{ utils::MixBits(own + 1), "r1" },
      std::map<std::string, std::string>{ { "dc1", "r1" }, { "dc2", "r2" } });
    std::vector<SlotRival> others{ { utils::MixBits(100), "r2" } };
    for (std::uint64_t other = 0; other < kRivals; ++other) {
      if (other != own) {
        others.push_back({ utils::MixBits(other + 1), "r1" });
      }
    }
    turns.back().SetOthers(std::move(others));
  }
  return turns;
}

PlaceQuery
MakeQuery(const EngineModel& aModel)
{
  PlaceQuery query;
  query.service = "engines";
  query.engine = &aModel;
  query.model = "model";
  query.layers = 1;
  query.promptTokens = 1000;
  query.dataCentre = "dc1";
  query.timeLeft = Millis(450);
  return query;
}

} // namespace

TEST_CASE("thundering herd: a place that is freed goes to one entry")
{
  Millis now(5000);
  int taken = 0;
  for (const auto& turns : MakeRivals()) {
    Fleet fleet(1);
    fleet.book.SetTurns(turns);
    auto upstream = fleet.book.Find("up0");
    upstream->own.running = kSlots;
    upstream->useChangedAt = now;
    taken += fleet.book.FindPlace(MakeQuery(fleet.model), now) ? 1 : 0;
  }
  // Without turns all five would send their next request to the same place.
  CHECK(taken == 1);
}

TEST_CASE("uneven entries: a place that its first entry leaves goes to others")
{
  Millis now(5000);
  for (std::int64_t waited = 0; waited <= 200; waited += 50) {
    SlotView view{ 7, "dc1", 1, now - Millis(waited) };
    auto rivals = MakeRivals();
    auto may = std::ranges::count_if(
      rivals, [&](const auto& aTurns) { return aTurns.MayTake(view, now); });
    CHECK(may >= std::min<std::int64_t>(1 + waited / 50, kRivals));
  }
}

TEST_CASE("calm: an upstream with many places is anyone's")
{
  Millis now(5000);
  SlotView view{ 7, "dc1", 10, now };
  auto rivals = MakeRivals();
  CHECK(std::ranges::all_of(
    rivals, [&](const auto& aTurns) { return aTurns.MayTake(view, now); }));
}

TEST_CASE("overload: last places are not for entries of other regions")
{
  Millis now(5000);
  SlotTurns far({ utils::MixBits(100), "r2" },
                { { "dc1", "r1" }, { "dc2", "r2" } });
  far.SetOthers({ { utils::MixBits(1), "r1" } });
  CHECK_FALSE(far.MayTake({ 7, "dc1", 3, Millis(0) }, now));
  CHECK(far.MayTake({ 7, "dc1", 8, now }, now));
  // With no entry near, they are.
  far.SetOthers({});
  CHECK(far.MayTake({ 7, "dc1", 3, Millis(0) }, now));
}
