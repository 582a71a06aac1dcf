#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>

#include <OriginHealth.h>
#include <PiecePicker.h>
#include <PieceStore.h>
#include <SwitchPlan.h>
#include <utils/Hash.h>

using namespace waxwingyoke;
using namespace waxwingyoke::fleet;
using utils::Millis;

namespace {

/** A staging area in memory. */
class StagingArea : public platform::LocalUpstream
{
public:
  std::optional<platform::UpstreamReport> GetReport(utils::Error&) override
  {
    return platform::UpstreamReport();
  }
  std::optional<std::vector<std::uint32_t>> ListStaged(const std::string&,
                                                       utils::Error&) override
  {
    std::vector<std::uint32_t> numbers;
    for (const auto& [number, bytes] : staged) {
      numbers.push_back(number);
    }
    return numbers;
  }
  std::optional<std::string> GetStaged(const std::string&,
                                       std::uint32_t aPiece,
                                       utils::Error& aReason) override
  {
    auto row = staged.find(aPiece);
    if (row == staged.end()) {
      aReason.Set(utils::ErrorKind::NotFound, "not staged");
      return std::nullopt;
    }
    return row->second;
  }
  bool PutStaged(const std::string&,
                 std::uint32_t aPiece,
                 const std::string& aBytes,
                 utils::Error&) override
  {
    staged[aPiece] = aBytes;
    return true;
  }
  std::optional<platform::OrderResult> OrderLoad(const std::string&,
                                                 std::uint64_t,
                                                 utils::Error&) override
  {
    return platform::OrderResult::Begun;
  }

  std::map<std::uint32_t, std::string> staged;
};

platform::PieceList
MakeList(std::uint64_t aVersion, const std::vector<std::string>& aPieces)
{
  platform::PieceList list;
  list.model = "model";
  list.version = aVersion;
  std::ranges::transform(
    aPieces, std::back_inserter(list.digests), [](const auto& aBytes) {
      return utils::Digest::Of(aBytes);
    });
  return list;
}

PieceHolder
MakeSide(const std::string& aVm, std::vector<bool> aPieces, bool aNear = true)
{
  PieceHolder side;
  side.vm = aVm;
  side.hash = utils::StableHash(aVm);
  side.isNear = aNear;
  side.isNearOrigin = aNear;
  side.pieces = std::move(aPieces);
  return side;
}

std::vector<std::string>
MakeNames(std::size_t aCount)
{
  std::vector<std::string> names(aCount);
  std::ranges::generate(
    names, [next = 0]() mutable { return "side" + std::to_string(next++); });
  return names;
}

std::optional<PieceChoice>
Pick(PickQuery aQuery)
{
  constexpr std::uint32_t kPieces = 48;
  aQuery.ranks = RankPieces(aQuery, kPieces);
  if (aQuery.farElapsed.empty()) {
    aQuery.farElapsed.assign(kPieces, aQuery.elapsed);
  }
  return PickPiece(aQuery);
}

} // namespace

TEST_CASE("only bytes with the wanted digest are staged")
{
  StagingArea area;
  PieceStore store(area);
  store.Begin(MakeList(1, { "zero", "one" }));
  CHECK(store.GetMissing().size() == 2);
  utils::Error reason;
  CHECK_FALSE(store.Put(0, "damaged", reason));
  CHECK(reason.kind == utils::ErrorKind::DigestMismatch);
  CHECK(store.Put(0, "zero", reason));
  CHECK(store.GetMissing() == std::set<std::uint32_t>{ 1 });
  CHECK(store.Get(utils::Digest::Of("zero")) == "zero");
}

TEST_CASE("pieces that lie there are kept if they are whole")
{
  StagingArea area;
  area.staged = { { 0, "zero" }, { 1, "damaged" } };
  PieceStore store(area);
  store.Begin(MakeList(1, { "zero", "one" }));
  CHECK(store.GetMissing() == std::set<std::uint32_t>{ 1 });
}

TEST_CASE("a piece that was damaged where it lies is missing again")
{
  StagingArea area;
  PieceStore store(area);
  store.Begin(MakeList(1, { "zero", "one" }));
  utils::Error reason;
  store.Put(0, "zero", reason);
  store.Put(1, "one", reason);
  CHECK(store.GetMissing().empty());
  area.staged[1] = "rotten";
  store.Verify();
  CHECK(store.GetMissing() == std::set<std::uint32_t>{ 1 });
  CHECK_FALSE(store.Get(utils::Digest::Of("one")));
}

TEST_CASE("the next version keeps the pieces that it shares")
{
  StagingArea area;
  PieceStore store(area);
  utils::Error reason;
  store.Begin(MakeList(1, { "zero", "one" }));
  store.Put(0, "zero", reason);
  store.Put(1, "one", reason);
  store.Begin(MakeList(2, { "zero", "new one" }));
  CHECK(store.GetMissing() == std::set<std::uint32_t>{ 1 });
}

TEST_CASE("within a region the rarest piece comes first")
{
  PickQuery query;
  query.ownVm = "me";
  query.missing = { 0, 1 };
  query.sides = { MakeSide("a", { true, true }),
                  MakeSide("b", { true, false }) };
  auto choice = Pick(query);
  REQUIRE(choice);
  CHECK(choice->piece == 1);
  CHECK(choice->vm == "a");
}

TEST_CASE("a busy side, and one that uploads to us already, is not asked")
{
  PickQuery query;
  query.ownVm = "me";
  query.missing = { 0 };
  query.sides = { MakeSide("a", { true }) };
  query.sides[0].isBusy = true;
  CHECK_FALSE(Pick(query));
  query.sides[0].isBusy = false;
  query.running["a"] = 1;
  CHECK_FALSE(Pick(query));
  query.running.clear();
  CHECK(Pick(query));
}

TEST_CASE("of a new version one side at first takes each piece of the origin")
{
  std::vector<std::string> vms{ "a", "b", "c", "d" };
  std::map<std::uint32_t, int> askers;
  for (const auto& own : vms) {
    PickQuery query;
    query.ownVm = own;
    query.isNearOrigin = true;
    query.isNew = true;
    for (const auto& vm : vms) {
      if (vm != own) {
        query.sides.push_back(MakeSide(vm, {}));
      }
    }
    for (std::uint32_t piece = 0; piece < 48; ++piece) {
      query.missing = { piece };
      auto choice = Pick(query);
      askers[piece] += choice && choice->vm.empty() ? 1 : 0;
    }
  }
  CHECK(std::ranges::all_of(askers,
                            [](const auto& aRow) { return aRow.second == 1; }));
}

TEST_CASE("others step in for a piece that nobody brings")
{
  PickQuery query;
  query.ownVm = "me";
  query.isNearOrigin = true;
  query.isNew = true;
  query.sides = { MakeSide("a", {}), MakeSide("b", {}), MakeSide("c", {}) };
  query.elapsed = Millis(10000);
  query.originElapsed = Millis(10000);
  for (std::uint32_t piece = 0; piece < 48; ++piece) {
    query.missing = { piece };
    CHECK(Pick(query));
  }
}

TEST_CASE("of a version that is not new others are heard before the origin")
{
  PickQuery query;
  query.ownVm = "me";
  query.isNearOrigin = true;
  query.missing = { 0 };
  CHECK_FALSE(Pick(query));
  query.elapsed = Millis(5000);
  query.originElapsed = Millis(5000);
  CHECK(Pick(query));
}

TEST_CASE("upstreams switch in waves, and all before the limit")
{
  SwitchTerms terms;
  terms.sides = 12;
  terms.limit = Millis(8000);
  terms.age = Millis(2000);
  std::vector<Millis> delays;
  for (terms.rank = 0; terms.rank < terms.sides; ++terms.rank) {
    delays.push_back(PlanSwitch(terms));
  }
  CHECK(std::ranges::is_sorted(delays));
  CHECK(delays.front() < delays.back());
  CHECK(terms.age + delays.back() < terms.limit);
  // No wave takes more than half of the upstreams.
  CHECK(std::ranges::count(delays, delays.front()) <= 6);
}

// Times of two versions that are named in a row, as measured on a fleet whose
// origin's region has narrow links.
struct VersionsInARow
{
  static constexpr Millis kLimit{ 8000 };
  static constexpr Millis kSecondNamed{ 4000 };
  static constexpr Millis kStaging{ 3200 };
  static constexpr Millis kOut{ 1600 };
  static constexpr std::size_t kSides = 12;
  static constexpr std::size_t kOtherOrder = 5;

  // When an upstream is ordered to take each version; none: it skips it.
  std::optional<Millis> first;
  Millis second;

  explicit VersionsInARow(std::size_t aRank)
  {
    SwitchTerms terms;
    terms.rank = aRank;
    terms.sides = kSides;
    terms.limit = kLimit;
    terms.age = kStaging;
    auto planned = kStaging + PlanSwitch(terms);
    if (planned < kSecondNamed || IsWorthFinishing({ terms, true, true })) {
      first = planned;
    }
    auto staged = kSecondNamed + kStaging;
    terms.age = first ? kStaging : staged;
    // Ranks of one version tell nothing of those of the next.
    terms.rank = aRank * kOtherOrder % kSides;
    second = staged + PlanSwitch(terms);
  }

  bool Serves(Millis aTime) const
  {
    auto isOut = [&](Millis aOrder) {
      return aTime >= aOrder && aTime < aOrder + kOut;
    };
    if ((first && isOut(*first)) || isOut(second)) {
      return false;
    }
    auto since = first && aTime >= *first ? kSecondNamed : Millis(0);
    return aTime >= second || aTime < since + kLimit;
  }
};

TEST_CASE("two versions in a row: enough upstreams serve at any time")
{
  std::vector<VersionsInARow> sides;
  for (std::size_t rank = 0; rank < VersionsInARow::kSides; ++rank) {
    sides.emplace_back(rank);
  }
  std::vector<std::int64_t> serving;
  for (Millis time; time < Millis(14000); time = time + Millis(100)) {
    serving.push_back(std::ranges::count_if(
      sides, [&](const auto& aSide) { return aSide.Serves(time); }));
    CAPTURE(time.value);
    CHECK(serving.back() >= 4);
  }
  // Half of the fleet over any two seconds, and a third at any moment.
  constexpr std::ptrdiff_t kWindow = 20;
  for (auto from = serving.begin(); serving.end() - from >= kWindow; ++from) {
    auto sum = std::accumulate(from, from + kWindow, std::int64_t{ 0 });
    CHECK(sum >= 6 * kWindow);
  }
}

TEST_CASE(
  "without the origin all take a superseded version that is in the fleet")
{
  SupersededVersion version;
  version.turn.sides = 12;
  auto count = [&version] {
    int takers = 0;
    for (version.turn.rank = 0; version.turn.rank < 12; ++version.turn.rank) {
      takers += IsWorthFinishing(version) ? 1 : 0;
    }
    return takers;
  };
  CHECK(count() == 0);
  version.isInFleet = true;
  CHECK(count() == 8);
  version.isOriginAnswering = false;
  CHECK(count() == 12);
  version.isInFleet = false;
  CHECK(count() == 0);
}

TEST_CASE("an upstream that serves nothing switches at once")
{
  SwitchTerms terms;
  terms.rank = 11;
  terms.sides = 12;
  terms.limit = Millis(8000);
  terms.idle = true;
  CHECK(PlanSwitch(terms) == Millis(0));
}

TEST_CASE("cold fleet: few sides ask the origin at once for a list")
{
  constexpr int kSides = 80;
  auto vms = MakeNames(kSides);
  int atOnce = 0;
  for (const auto& own : vms) {
    PickQuery query;
    query.ownVm = own;
    query.ownHash = utils::StableHash(own);
    query.isNearOrigin = true;
    query.isNew = true;
    for (const auto& vm : vms) {
      if (vm != own) {
        query.sides.push_back(MakeSide(vm, {}));
      }
    }
    atOnce += GetListTurn(query, 7) == Millis(0) ? 1 : 0;
    // Each gets its turn, should the others never get the list.
    CHECK(GetListTurn(query, 7) <= Millis(300 * kSides / 2));
  }
  CHECK(atOnce == 2);
}

TEST_CASE(
  "cold fleet: a region does not wait for a list until others had turns")
{
  constexpr int kSides = 24;
  auto vms = MakeNames(2 * kSides);
  int atOnce = 0;
  for (int own = 0; own < kSides; ++own) {
    PickQuery query;
    query.ownVm = vms[own];
    query.ownHash = utils::StableHash(vms[own]);
    query.isNew = true;
    for (int other = 0; other < 2 * kSides; ++other) {
      if (other != own) {
        query.sides.push_back(MakeSide(vms[other], {}, other < kSides));
      }
    }
    atOnce += GetListTurn(query, 7) == Millis(0) ? 1 : 0;
  }
  CHECK(atOnce == 2);
}

TEST_CASE(
  "an origin that returns late: one side brings each piece into a region")
{
  constexpr int kSides = 12;
  auto vms = MakeNames(kSides);
  int bringers = 0;
  for (const auto& own : vms) {
    PickQuery query;
    query.ownVm = own;
    query.missing = { 3 };
    query.originUsable = false;
    // Staging began long ago; the piece is there just now.
    query.elapsed = Millis(10000);
    query.farElapsed.assign(48, Millis(0));
    query.sides = { MakeSide("far", std::vector<bool>(48, true), false) };
    for (const auto& vm : vms) {
      if (vm != own) {
        query.sides.push_back(MakeSide(vm, {}));
      }
    }
    bringers += Pick(query) ? 1 : 0;
    query.farElapsed.assign(48, Millis(20000));
    CHECK(Pick(query));
  }
  CHECK(bringers == 1);
}

TEST_CASE("an origin that is away is tried seldom, and at once when it is back")
{
  Millis now(1000);
  OriginHealth health(utils::Clock([&now] { return now; }));
  utils::Error reason;
  reason.Set(utils::ErrorKind::ConnectFailed, "refused");
  CHECK(health.IsUsable());
  for (int i = 0; i < 5; ++i) {
    health.Note(false, reason);
    CHECK_FALSE(health.IsUsable());
    CHECK_FALSE(health.IsAnswering());
    now = now + Millis(1000);
    CHECK(health.IsUsable());
  }
  health.Note(false, reason);
  health.NoteReturn();
  CHECK(health.IsUsable());
  health.Note(true, {});
  CHECK(health.IsAnswering());
}

TEST_CASE("cold fleet: a side takes one piece at a time from the origin")
{
  PickQuery query;
  query.ownVm = "me";
  query.isNearOrigin = true;
  query.isNew = true;
  query.missing = { 0, 1, 2 };
  REQUIRE(Pick(query));
  query.running[""] = 1;
  CHECK_FALSE(Pick(query));
}

TEST_CASE("thundering herd: an origin that returns is asked by ranks again")
{
  auto vms = MakeNames(20);
  int askers = 0;
  for (const auto& own : vms) {
    PickQuery query;
    query.ownVm = own;
    query.isNearOrigin = true;
    query.isNew = true;
    // It was away for long, and failed a moment ago.
    query.elapsed = Millis(8000);
    query.originElapsed = Millis(300);
    query.missing = { 5 };
    for (const auto& vm : vms) {
      if (vm != own) {
        query.sides.push_back(MakeSide(vm, {}));
      }
    }
    askers += Pick(query) ? 1 : 0;
  }
  CHECK(askers == 1);
}
