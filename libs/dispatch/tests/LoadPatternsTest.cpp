// Placement under flash crowds, overload, retry storms and cold fleets, on
// simulated upstreams with a manually advanced clock.

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include <dispatch/PredictionBias.h>
#include <dispatch/RetryAfterPlanner.h>
#include <dispatch/UpstreamRegistry.h>
#include <dispatch/WaitQueue.h>
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

/** Simulated upstreams that run each request for a fixed time. */
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
    registry.Put(upstream);
  }

  bool Offer(Millis aNow)
  {
    Finish(aNow);
    PlacementQuery query;
    query.service = "engines";
    query.engine = &model;
    query.model = "model";
    query.layers = 1;
    query.promptTokens = 1000;
    query.dataCentre = "dc1";
    query.timeLeft = Millis(450);
    auto placement = registry.FindPlacement(query, aNow);
    if (placement) {
      ++placement->upstream->own.running;
      running_.push_back({ aNow + kProcessingTime, placement->upstream });
    }
    return placement.has_value();
  }

  std::uint32_t GetMaxRunning() const
  {
    std::uint32_t most = 0;
    for (const auto& [id, state] : registry.GetAll()) {
      most = std::max(most, state->own.running);
    }
    return most;
  }

  EngineModel model{ MakeTraits() };
  UpstreamRegistry registry;

private:
  static constexpr Millis kProcessingTime{ 2000 };

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

TEST_CASE("flash crowd: upstreams fill up evenly without long engine queues")
{
  Fleet fleet(4);
  int taken = 0;
  for (int i = 0; i < 500; ++i) {
    taken += fleet.Offer(Millis(1000)) ? 1 : 0;
  }
  CHECK(taken >= 4 * static_cast<int>(kSlots));
  CHECK(fleet.GetMaxRunning() <= kSlots + 2);
}

TEST_CASE("overload: at twice the capacity about half is placed throughout")
{
  Fleet fleet(4);
  int offered = 0;
  int taken = 0;
  // 64 slots with 2 s a request serve 32 requests/s; 64 requests/s are offered.
  for (std::int64_t ms = 0; ms < 20000; ms += 1000 / 64) {
    ++offered;
    taken += fleet.Offer(Millis(ms)) ? 1 : 0;
  }
  CHECK(taken > offered * 45 / 100);
  CHECK(fleet.GetMaxRunning() <= kSlots + 2);
}

TEST_CASE("cold fleet: an added upstream receives requests at once")
{
  Fleet fleet(1);
  while (fleet.Offer(Millis(1000))) {
  }
  fleet.Add("added");
  CHECK(fleet.Offer(Millis(1000)));
  CHECK(fleet.registry.Find("added")->own.running == 1);
}

TEST_CASE("slow upstream: a reported slow pace moves requests to others")
{
  Fleet fleet(2);
  fleet.registry.ApplySideReport("up0", { 1, true, 6 }, Millis(1000));
  for (int i = 0; i < 8; ++i) {
    fleet.Offer(Millis(1000));
  }
  CHECK(fleet.registry.Find("up0")->own.running == 0);
  CHECK(fleet.registry.Find("up1")->own.running == 8);
}

TEST_CASE("retry storm: refused callers get distinct, spaced retry times")
{
  RetryAfterPlanner planner;
  for (std::int64_t ms = 1000; ms < 3000; ms += 20) {
    planner.RecordRelease(Millis(ms));
  }
  std::vector<Millis> retryAfters(20);
  std::ranges::generate(retryAfters,
                        [&planner] { return planner.PlanRetry(Millis(3000)); });
  CHECK(std::ranges::is_sorted(retryAfters));
  // A quarter of 50 releases/s leaves one slot for retries every 80 ms.
  CHECK((retryAfters.back() - retryAfters.front()) >= Millis(19 * 70));
  CHECK(retryAfters.front() >= Millis(100));
}

TEST_CASE(
  "thundering herd: the queue is served by priority, retries last, then "
  "by arrival")
{
  WaitQueue queue;
  std::vector<int> served;
  int free = 0;
  auto join = [&](int aName, int aPriority, bool aIsRetry, Millis aAt) {
    QueuedRequest queued;
    queued.priority = aPriority;
    queued.isRetry = aIsRetry;
    queued.arrived = aAt;
    queued.tryPlace = [&free] { return free > 0 && free-- > 0; };
    queued.onPlaced = [&served, aName] { served.push_back(aName); };
    return queue.Insert(std::move(queued));
  };
  join(1, 2, false, Millis(1));
  join(2, 1, false, Millis(3));
  join(3, 1, true, Millis(4));
  join(4, 1, false, Millis(2));
  free = 2;
  queue.PlaceQueued();
  CHECK(served == std::vector<int>{ 4, 2 });
  free = 5;
  queue.PlaceQueued();
  CHECK(served == std::vector<int>{ 4, 2, 3, 1 });
}

TEST_CASE("overload: serving a long queue costs a few tries, not one a request")
{
  WaitQueue queue;
  int tries = 0;
  for (int i = 0; i < 500; ++i) {
    QueuedRequest queued;
    queued.arrived = Millis(i);
    queued.tryPlace = [&tries] {
      ++tries;
      return false;
    };
    queue.Insert(std::move(queued));
  }
  queue.PlaceQueued();
  CHECK(tries < 10);
}

TEST_CASE("overload: a request that cannot be placed does not block the next")
{
  WaitQueue queue;
  bool isServed = false;
  QueuedRequest large;
  large.arrived = Millis(1);
  large.tryPlace = [] { return false; };
  queue.Insert(std::move(large));
  QueuedRequest small;
  small.arrived = Millis(2);
  small.tryPlace = [] { return true; };
  small.onPlaced = [&isServed] { isServed = true; };
  queue.Insert(std::move(small));
  queue.PlaceQueued();
  CHECK(isServed);
}

TEST_CASE("flash crowd: entries without each other's load choose different "
          "upstreams")
{
  constexpr std::uint64_t kEntries = 5;
  constexpr int kUpstreams = 15;
  std::map<std::string, int> sent;
  for (std::uint64_t entry = 0; entry < kEntries; ++entry) {
    Fleet fleet(kUpstreams);
    PlacementQuery query;
    query.service = "engines";
    query.engine = &fleet.model;
    query.model = "model";
    query.layers = 1;
    query.promptTokens = 1000;
    query.dataCentre = "dc1";
    query.timeLeft = Millis(450);
    query.entryHash = utils::MixBits(entry + 1);
    for (int i = 0; i < 3; ++i) {
      auto placement = fleet.registry.FindPlacement(query, Millis(1000));
      REQUIRE(placement);
      ++placement->upstream->own.running;
      placement->upstream->own.unreadTokens += 1000;
      ++sent[placement->upstream->record.id];
    }
  }
  // Without the entry's preference all entries would choose the same three
  // upstreams, with five requests each.
  auto most = std::ranges::max_element(
    sent, {}, [](const auto& aRow) { return aRow.second; });
  CHECK(most->second <= 3);
  CHECK(sent.size() >= 8);
}

TEST_CASE("overload: late first events reduce the requests that are placed")
{
  PredictionBias bias;
  for (int i = 0; i < 200; ++i) {
    bias.RecordSample(150, 450, Millis(1000));
  }
  CHECK(bias.GetMs(Millis(1000)) > 200);
  Fleet fleet(4);
  PlacementQuery query;
  query.service = "engines";
  query.engine = &fleet.model;
  query.model = "model";
  query.layers = 1;
  query.promptTokens = 1000;
  query.timeLeft = Millis(450);
  auto count = [&] {
    int taken = 0;
    while (auto placement = fleet.registry.FindPlacement(query, Millis(1000))) {
      ++placement->upstream->own.running;
      ++taken;
    }
    for (const auto& [id, state] : fleet.registry.GetAll()) {
      state->own.running = 0;
    }
    return taken;
  };
  int before = count();
  query.biasMs = bias.GetMs(Millis(1000));
  CHECK(count() < before);
  // Without samples the bias decays, as it would if all requests were refused.
  CHECK(bias.GetMs(Millis(8000)) < 5);
  // First events are on time again: as many requests are placed as before.
  for (int i = 0; i < 300; ++i) {
    bias.RecordSample(150, 150, Millis(1000));
  }
  query.biasMs = bias.GetMs(Millis(1000));
  CHECK(count() == before);
}

namespace {

constexpr std::uint64_t kCompetitors = 5;

// The arbiters of kCompetitors entries in region r1, which contains data centre
// dc1; each has all others as competitors, and one entry of region r2.
std::vector<SlotArbiter>
MakeArbiters()
{
  std::vector<SlotArbiter> arbiters;
  for (std::uint64_t own = 0; own < kCompetitors; ++own) {
    arbiters.emplace_back(
      CompetingEntry{ utils::MixBits(own + 1), "r1" },
      std::map<std::string, std::string>{ { "dc1", "r1" }, { "dc2", "r2" } });
    std::vector<CompetingEntry> others{ { utils::MixBits(100), "r2" } };
    for (std::uint64_t other = 0; other < kCompetitors; ++other) {
      if (other != own) {
        others.push_back({ utils::MixBits(other + 1), "r1" });
      }
    }
    arbiters.back().SetCompetitors(std::move(others));
  }
  return arbiters;
}

PlacementQuery
MakeQuery(const EngineModel& aModel)
{
  PlacementQuery query;
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

TEST_CASE("thundering herd: a freed slot is taken by one entry")
{
  Millis now(5000);
  int taken = 0;
  for (const auto& arbiter : MakeArbiters()) {
    Fleet fleet(1);
    fleet.registry.SetArbiter(arbiter);
    auto upstream = fleet.registry.Find("up0");
    upstream->own.running = kSlots;
    upstream->useChangedAt = now;
    taken += fleet.registry.FindPlacement(MakeQuery(fleet.model), now) ? 1 : 0;
  }
  // Without arbiters all five entries would send a request to the same slot.
  CHECK(taken == 1);
}

TEST_CASE("uneven entries: an unused slot passes to the next entries in rank")
{
  Millis now(5000);
  for (std::int64_t waited = 0; waited <= 200; waited += 50) {
    SlotView view{ 7, "dc1", 1, now - Millis(waited) };
    auto entries = MakeArbiters();
    auto may = std::ranges::count_if(entries, [&](const auto& aArbiter) {
      return aArbiter.MayTakeSlot(view, now);
    });
    CHECK(may >= std::min<std::int64_t>(1 + waited / 50, kCompetitors));
  }
}

TEST_CASE("low load: any entry may take a slot where many are free")
{
  Millis now(5000);
  SlotView view{ 7, "dc1", 10, now };
  auto entries = MakeArbiters();
  CHECK(std::ranges::all_of(entries, [&](const auto& aArbiter) {
    return aArbiter.MayTakeSlot(view, now);
  }));
}

TEST_CASE("overload: the last slots are reserved for entries of the region")
{
  Millis now(5000);
  SlotArbiter remote({ utils::MixBits(100), "r2" },
                     { { "dc1", "r1" }, { "dc2", "r2" } });
  remote.SetCompetitors({ { utils::MixBits(1), "r1" } });
  CHECK_FALSE(remote.MayTakeSlot({ 7, "dc1", 3, Millis(0) }, now));
  CHECK(remote.MayTakeSlot({ 7, "dc1", 8, now }, now));
  // Without an entry in the upstream's region, other regions may take them.
  remote.SetCompetitors({});
  CHECK(remote.MayTakeSlot({ 7, "dc1", 3, Millis(0) }, now));
}
