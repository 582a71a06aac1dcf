#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <LoadTracker.h>

using namespace waxwingyoke;
using namespace waxwingyoke::fleet;
using platform::OrderResult;
using utils::Millis;

namespace {

constexpr std::uint32_t kLayers = 4;

platform::UpstreamReport
MakeReport(std::uint64_t aOrders,
           std::uint64_t aVersion = 0,
           platform::LayerRange aLayers = { 0, kLayers })
{
  platform::UpstreamReport report;
  report.startedMs = 1;
  report.orders = aOrders;
  if (aVersion > 0) {
    report.held = { { "m", aVersion, aLayers.first, aLayers.end } };
  }
  return report;
}

SentOrder
MakeOrder(std::uint64_t aExpected, Millis aCheckedAt)
{
  SentOrder order;
  order.version = 1;
  order.expectedOrders = aExpected;
  order.checkedAt = aCheckedAt;
  return order;
}

LoadCheck
MakeCheck(const LoadTracker& aTracker,
          bool aIsWhole,
          std::optional<Millis> aLastWriteAt = std::nullopt)
{
  auto check = aTracker.GetAcceptance();
  check.isWhole = aIsWhole;
  check.lastWriteAt = aLastWriteAt;
  return check;
}

} // namespace

TEST_CASE("an order that is answered soon after its check is proven")
{
  LoadTracker tracker;
  tracker.ApplyReport(MakeReport(0), Millis(100));
  tracker.RecordSent(MakeOrder(0, Millis(200)));
  tracker.RecordAnswer(OrderResult::Begun, Millis(3200));
  CHECK(tracker.IsProven());
  tracker.ApplyReport(MakeReport(1, 1), Millis(3300));
  CHECK(tracker.IsProven());
}

// Guards against an answer that comes so late that a piece may have been
// damaged for too long when the upstream accepted the order.
TEST_CASE("an order that is answered late is proven by a later check only")
{
  for (bool isWhole : { true, false }) {
    LoadTracker tracker;
    tracker.ApplyReport(MakeReport(0), Millis(100));
    tracker.RecordSent(MakeOrder(0, Millis(200)));
    tracker.RecordAnswer(OrderResult::Begun, Millis(3201));
    tracker.ApplyReport(MakeReport(1, 1), Millis(3300));
    CHECK(tracker.NeedsCheck());
    tracker.RecordCheck(MakeCheck(tracker, isWhole));
    CHECK(tracker.IsProven() == isWhole);
    CHECK(tracker.IsRefuted() != isWhole);
  }
}

// Guards against pieces that count as whole at the acceptance although they
// were repaired after it.
TEST_CASE("a check proves nothing if a piece was written after the last report "
          "without the load")
{
  LoadTracker tracker;
  tracker.ApplyReport(MakeReport(0), Millis(100));
  tracker.ApplyReport(MakeReport(1, 1), Millis(500));
  tracker.RecordCheck(MakeCheck(tracker, true, Millis(200)));
  CHECK(tracker.IsRefuted());
  LoadTracker other;
  other.ApplyReport(MakeReport(0), Millis(300));
  other.ApplyReport(MakeReport(1, 1), Millis(500));
  other.RecordCheck(MakeCheck(other, true, Millis(200)));
  CHECK(other.IsProven());
}

TEST_CASE("a check that began before another order was accepted proves nothing")
{
  LoadTracker tracker;
  tracker.ApplyReport(MakeReport(0), Millis(100));
  tracker.ApplyReport(MakeReport(1, 1), Millis(200));
  auto check = MakeCheck(tracker, true);
  tracker.ApplyReport(MakeReport(2, 1), Millis(300));
  tracker.RecordCheck(check);
  CHECK(tracker.NeedsCheck());
}

TEST_CASE("an order without an answer stays open until its fate is known")
{
  LoadTracker tracker;
  tracker.ApplyReport(MakeReport(3, 1), Millis(100));
  auto send = [&tracker] {
    tracker.RecordSent(MakeOrder(3, Millis(100)));
    tracker.RecordAnswer(std::nullopt, Millis(1600));
    CHECK(tracker.GetOpenVersion() == 1);
  };
  send();
  tracker.ApplyReport(MakeReport(3, 1), Millis(1700));
  CHECK(tracker.GetOpenVersion() == 1);
  // Only one of two orders that expect the same count is accepted.
  tracker.RecordSent(MakeOrder(3, Millis(1700)));
  tracker.RecordAnswer(OrderResult::Conflict, Millis(1800));
  CHECK(tracker.GetOpenVersion() == 1);
  SUBCASE("a report shows it accepted")
  {
    tracker.ApplyReport(MakeReport(4, 1), Millis(1900));
    CHECK(tracker.NeedsCheck());
  }
  SUBCASE("the next one is accepted")
  {
    tracker.RecordSent(MakeOrder(3, Millis(1700)));
    tracker.RecordAnswer(OrderResult::Begun, Millis(1800));
    CHECK(tracker.IsProven());
  }
  SUBCASE("the upstream starts anew")
  {
    auto report = MakeReport(0);
    report.startedMs = 2;
    tracker.ApplyReport(report, Millis(1900));
    CHECK(tracker.IsProven());
  }
  CHECK_FALSE(tracker.GetOpenVersion());
}

// Guards against a second answer to an earlier order that passes as the answer
// to the last one.
TEST_CASE("an answer is void if a later report does not show the order")
{
  LoadTracker tracker;
  tracker.ApplyReport(MakeReport(1, 1), Millis(100));
  tracker.RecordSent(MakeOrder(1, Millis(100)));
  tracker.RecordAnswer(OrderResult::Begun, Millis(200));
  // Requested before the answer.
  tracker.ApplyReport(MakeReport(1, 1), Millis(150));
  CHECK_FALSE(tracker.GetOpenVersion());
  tracker.ApplyReport(MakeReport(1, 1), Millis(300));
  CHECK(tracker.GetOpenVersion() == 1);
  tracker.ApplyReport(MakeReport(2, 1), Millis(5000));
  CHECK(tracker.NeedsCheck());
}

TEST_CASE("a load in progress at the start of the process is not proven")
{
  LoadTracker idle;
  idle.ApplyReport(MakeReport(5, 1), Millis(100));
  CHECK(idle.IsProven());
  LoadTracker busy;
  auto report = MakeReport(5);
  report.busy = true;
  busy.ApplyReport(report, Millis(100));
  CHECK(busy.NeedsCheck());
}

// Guards against weights that are loaded again and again, as the unproven load
// before them counts against each.
TEST_CASE("a load of all layers is proven whatever was loaded before it")
{
  LoadTracker tracker;
  tracker.ApplyReport(MakeReport(0), Millis(100));
  tracker.ApplyReport(MakeReport(1, 2), Millis(200));
  tracker.RecordCheck(MakeCheck(tracker, false));
  REQUIRE(tracker.IsRefuted());
  tracker.ApplyReport(MakeReport(1, 2), Millis(600));
  auto order = MakeOrder(1, Millis(700));
  order.mayBeOverwritten = true;
  tracker.RecordSent(order);
  tracker.RecordAnswer(OrderResult::Begun, Millis(800));
  tracker.ApplyReport(MakeReport(2, 1), Millis(900));
  CHECK(tracker.NeedsCheck());
  // Written after the load before it, and before this one.
  tracker.RecordCheck(MakeCheck(tracker, true, Millis(500)));
  CHECK(tracker.IsProven());
}

// Guards against layers that the process before this one could not prove, and
// that count as proven beside those that are loaded again.
TEST_CASE(
  "layers that another process left are refuted, own proven ones are not")
{
  LoadTracker tracker;
  tracker.ApplyReport(MakeReport(2, 1, { 0, 2 }), Millis(100));
  REQUIRE(tracker.IsInherited());
  tracker.Refute();
  CHECK(tracker.IsRefuted());
  tracker.RecordSent(MakeOrder(2, Millis(100)));
  tracker.RecordAnswer(OrderResult::Begun, Millis(200));
  tracker.ApplyReport(MakeReport(3, 1, { 2, 4 }), Millis(300));
  CHECK_FALSE(tracker.IsInherited());
  CHECK(tracker.IsProven());
}

TEST_CASE(
  "an order that a late write may spoil is proven by a later check only")
{
  LoadTracker tracker;
  tracker.ApplyReport(MakeReport(0), Millis(100));
  auto order = MakeOrder(0, Millis(200));
  order.mayBeOverwritten = true;
  tracker.RecordSent(order);
  tracker.RecordAnswer(OrderResult::Begun, Millis(300));
  tracker.ApplyReport(MakeReport(1, 1), Millis(400));
  CHECK(tracker.NeedsCheck());
}

// An upstream does not load layers again that it holds of that version.
TEST_CASE("weights that can't be proven are loaded again in parts")
{
  const platform::LayerRange all{ 0, kLayers };
  const platform::LayerRange lower{ 0, 2 };
  const platform::LayerRange upper{ 2, kLayers };
  CHECK(ChooseLayers(MakeReport(1), 1, kLayers, false) == all);
  CHECK(ChooseLayers(MakeReport(1, 2), 1, kLayers, false) == all);
  CHECK(ChooseLayers(MakeReport(1, 1), 1, kLayers, false) == lower);
  CHECK(ChooseLayers(MakeReport(1, 1, lower), 1, kLayers, false) == upper);
  CHECK(ChooseLayers(MakeReport(1, 1, upper), 1, kLayers, true) == all);
  CHECK(ChooseLayers(MakeReport(1, 1, upper), 1, kLayers, false) == lower);
}

namespace {

constexpr std::uint32_t kPieces = 6;

/** A layer that an upstream holds. */
struct HeldLayer
{
  std::uint64_t version = 0;
  bool isBad = false;
};

/** A staged piece. */
struct StagedPiece
{
  std::uint64_t version = 0;
  std::optional<Millis> damagedAt;
};

/** An order that has not arrived. */
struct OrderOnItsWay
{
  Millis arrivesAt;
  std::uint64_t version = 0;
  std::optional<std::uint64_t> expected;
  platform::LayerRange layers;
  int id = 0;
};

/**
 * An upstream and the side beside it, which damages, delays, orders of other
 * processes and new starts disturb at random.
 */
class RandomLoads
{
public:
  explicit RandomLoads(unsigned aSeed)
    : random_(aSeed)
  {
  }

  void Run()
  {
    constexpr int kSteps = 400;
    Report();
    for (int i = 0; i < kSteps; ++i) {
      Advance(Pick(150));
      Disturb();
      Report();
      Step();
      Report();
      auto isBad = [](const HeldLayer& aLayer) { return aLayer.isBad; };
      REQUIRE_FALSE(
        (tracker_.IsProven() && std::ranges::any_of(layers_, isBad)));
    }
  }

  /** Whether the wanted version is proven once nothing disturbs it any more. */
  bool Settle()
  {
    constexpr int kSteps = 12;
    isDisturbed_ = false;
    pending_.clear();
    for (int i = 0; i < kSteps; ++i) {
      Advance(100);
      Report();
      Step();
      Report();
    }
    return tracker_.IsProven() &&
           platform::FindCompleteVersion(report_.held, "m", kLayers) == wanted_;
  }

  int CountProven() const { return proven_; }
  int CountBadLoads() const { return badLoads_; }

private:
  std::int64_t Pick(std::int64_t aMost)
  {
    return std::uniform_int_distribution<std::int64_t>(0, aMost)(random_);
  }
  bool IsOneIn(int aNumber) { return isDisturbed_ && Pick(aNumber - 1) == 0; }

  // Orders that arrive meanwhile are handled at their time.
  void Advance(std::int64_t aTime)
  {
    auto until = now_ + Millis(aTime);
    std::ranges::sort(pending_, {}, &OrderOnItsWay::arrivesAt);
    while (!pending_.empty() && pending_.front().arrivesAt <= until) {
      auto order = pending_.front();
      pending_.erase(pending_.begin());
      now_ = std::max(now_, order.arrivesAt);
      if (Accept(order)) {
        accepted_.insert(order.id);
      }
    }
    now_ = until;
  }

  bool Accept(const OrderOnItsWay& aOrder)
  {
    if (aOrder.expected && *aOrder.expected != orders_) {
      return false;
    }
    ++orders_;
    for (std::uint32_t i = 0; i < kLayers; ++i) {
      auto& layer = layers_[i];
      if (i < aOrder.layers.first || i >= aOrder.layers.end) {
        layer = {};
      } else if (layer.version != aOrder.version) {
        layer = { aOrder.version, IsLayerBad(i, aOrder.version) };
        badLoads_ += layer.isBad ? 1 : 0;
      }
    }
    return true;
  }

  bool IsLayerBad(std::uint32_t aLayer, std::uint64_t aVersion) const
  {
    auto first = aLayer * kPieces / kLayers;
    auto end = ((aLayer + 1) * kPieces + kLayers - 1) / kLayers;
    return std::any_of(
      staged_.begin() + first, staged_.begin() + end, [&](const auto& aPiece) {
        return aPiece.version != aVersion ||
               (aPiece.damagedAt &&
                now_ - *aPiece.damagedAt > platform::kDamageDetectionTime);
      });
  }

  /** Damages a piece in one of aNumber calls. */
  void Damage(int aNumber)
  {
    if (IsOneIn(aNumber)) {
      auto& piece = staged_[static_cast<std::size_t>(Pick(kPieces - 1))];
      piece.damagedAt = piece.damagedAt.value_or(now_);
    }
  }

  void Disturb()
  {
    Damage(6);
    if (IsOneIn(12)) {
      ++wanted_;
    }
    // A write without an answer, which is applied later or never.
    hasOpenWrite_ = hasOpenWrite_ || IsOneIn(100);
    if (hasOpenWrite_ && IsOneIn(30)) {
      staged_[static_cast<std::size_t>(Pick(kPieces - 1))] = { 0,
                                                               std::nullopt };
    }
    if (IsOneIn(25)) {
      pending_.push_back({ now_, wanted_, std::nullopt, { 0, kLayers } });
    }
    if (IsOneIn(60)) {
      ++startedMs_;
      orders_ = 0;
      layers_ = {};
      pending_.clear();
      hasOpenWrite_ = false;
    }
  }

  platform::UpstreamReport MakeOwnReport() const
  {
    platform::UpstreamReport report;
    report.startedMs = startedMs_;
    report.orders = orders_;
    auto isHeld = [](const HeldLayer& aLayer) { return aLayer.version > 0; };
    auto first = std::ranges::find_if(layers_, isHeld);
    if (first != layers_.end()) {
      auto end = std::find_if_not(first, layers_.end(), isHeld);
      report.held = { { "m",
                        first->version,
                        static_cast<std::uint32_t>(first - layers_.begin()),
                        static_cast<std::uint32_t>(end - layers_.begin()) } };
    }
    return report;
  }

  void Report()
  {
    report_ = MakeOwnReport();
    tracker_.ApplyReport(report_, now_);
  }

  // As the side does: checks a load that is not proven, else writes the missing
  // pieces and orders.
  void Step()
  {
    auto loaded = platform::FindCompleteVersion(report_.held, "m", kLayers);
    auto held = report_.held.empty() ? 0 : report_.held.front().version;
    if (tracker_.NeedsCheck() && held > 0 && held == wanted_) {
      auto check = tracker_.GetAcceptance();
      check.isWhole = ReadAll();
      check.lastWriteAt = lastWriteAt_;
      tracker_.RecordCheck(check);
    }
    if (loaded == wanted_ && !tracker_.IsRefuted()) {
      proven_ += tracker_.IsProven() ? 1 : 0;
      return;
    }
    for (auto& piece : staged_) {
      if (piece.version != wanted_ || piece.damagedAt) {
        Advance(Pick(20));
        piece = { wanted_, std::nullopt };
        lastWriteAt_ = now_;
      }
    }
    Report();
    Order();
  }

  bool ReadAll()
  {
    bool isWhole = true;
    for (const auto& piece : staged_) {
      isWhole = isWhole && piece.version == wanted_ && !piece.damagedAt;
      Advance(Pick(10));
      Damage(40);
    }
    return isWhole;
  }

  void Order()
  {
    constexpr std::int64_t kCallTimeout = 1500;
    SentOrder sent;
    sent.version = wanted_;
    sent.checkedAt = now_;
    sent.expectedOrders = report_.orders;
    auto layers = ChooseLayers(report_, wanted_, kLayers, tracker_.IsProven());
    sent.replacesAll = !HoldsPartOf(report_, wanted_, layers);
    sent.mayBeOverwritten = hasOpenWrite_;
    if (!ReadAll()) {
      return;
    }
    Damage(4);
    // The side sends no order whose check is older than 2 s.
    Advance(Pick(IsOneIn(3) ? 1900 : 40));
    tracker_.RecordSent(sent);
    auto transit = IsOneIn(3) ? Pick(6000) : 1;
    auto id = ++orderIds_;
    pending_.push_back(
      { now_ + Millis(transit), wanted_, sent.expectedOrders, layers, id });
    bool isAnswered = transit <= kCallTimeout && !IsOneIn(5);
    // A process that is suspended reads the answer late.
    Advance(isAnswered ? transit + (IsOneIn(8) ? Pick(4000) : 0)
                       : kCallTimeout);
    auto result =
      accepted_.contains(id) ? OrderResult::Begun : OrderResult::Conflict;
    tracker_.RecordAnswer(isAnswered ? std::optional(result) : std::nullopt,
                          now_);
  }

  std::mt19937 random_;
  LoadTracker tracker_;
  Millis now_{ 10000 };
  std::uint64_t wanted_ = 1;
  std::optional<Millis> lastWriteAt_;
  platform::UpstreamReport report_;
  int proven_ = 0;
  std::int64_t startedMs_ = 1;
  std::uint64_t orders_ = 0;
  std::array<HeldLayer, kLayers> layers_;
  std::array<StagedPiece, kPieces> staged_;
  std::vector<OrderOnItsWay> pending_;
  std::set<int> accepted_;
  int orderIds_ = 0;
  bool isDisturbed_ = true;
  bool hasOpenWrite_ = false;
  int badLoads_ = 0;
};

} // namespace

// Guards against weights that count as proven although a piece was missing,
// damaged or of another version when the upstream took it (WHOLE).
TEST_CASE(
  "no order of damages, late orders and new starts makes bad weights count "
  "as proven")
{
  constexpr unsigned kSeeds = 200;
  int proven = 0;
  int badLoads = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    RandomLoads loads(seed);
    loads.Run();
    CHECK(loads.Settle());
    proven += loads.CountProven();
    badLoads += loads.CountBadLoads();
  }
  CHECK(proven > 0);
  CHECK(badLoads > 0);
}
