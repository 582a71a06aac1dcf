#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <ChunkSet.h>
#include <FetchFailover.h>
#include <PeerRegistry.h>
#include <Picker.h>
#include <RegionShare.h>
#include <UploadLimit.h>
#include <net/Pacer.h>

using namespace waxwingyoke;
using namespace waxwingyoke::weights;
using utils::Millis;

namespace {

constexpr std::size_t kChunks = 16;

schema::PeerOffer
MakeOffer(const std::string& aVm,
          const std::vector<std::size_t>& aChunks,
          std::uint64_t aUploadedChunks = 0,
          const std::string& aIncarnation = "first")
{
  ChunkSet held(kChunks);
  std::ranges::for_each(aChunks, [&](auto aChunk) { held.Add(aChunk); });
  schema::PeerOffer offer;
  offer.set_vm(aVm);
  offer.set_incarnation(aIncarnation);
  offer.set_held(held.GetBytes());
  offer.set_given_chunks(aUploadedChunks);
  return offer;
}

struct PickerFixture
{
  std::string vm = "own";
  std::string region = "north";
  ChunkSet held{ kChunks };
  std::set<std::size_t> inFlight;
  PeerRegistry peers;

  PickerFixture()
  {
    peers.AddOrUpdate("a", "north", { "127.0.0.1", 1 }, Millis(0));
    peers.AddOrUpdate("b", "north", { "127.0.0.1", 2 }, Millis(0));
    peers.AddOrUpdate("far", "south", { "127.0.0.1", 3 }, Millis(0));
    peers.SetChunkCount(kChunks);
  }

  PickInput MakeInput(std::int64_t aNow) const
  {
    return { vm, region, held, inFlight, peers, Millis(aNow) };
  }
};

} // namespace

TEST_CASE("a chunk set round-trips through bytes and ignores surplus bits")
{
  ChunkSet set(11);
  set.Add(0);
  set.Add(10);
  set.Add(11);
  CHECK(set.GetCount() == 2);
  auto copy = ChunkSet::FromBytes(set.GetBytes() + "\xff", 11);
  CHECK(copy.GetBytes() == set.GetBytes());
  CHECK(ChunkSet::FromBytes("\xff\xff", 11).IsFull());
  CHECK_FALSE(ChunkSet::FromBytes("", 11).Has(3));
}

TEST_CASE("the rarest missing chunk is picked from the least used holder")
{
  PickerFixture fixture;
  fixture.peers.Merge(MakeOffer("a", { 1, 2 }, 40), Millis(1));
  fixture.peers.Merge(MakeOffer("b", { 1, 3 }, 8), Millis(1));
  fixture.peers.Merge(MakeOffer("far", { 5 }), Millis(1));
  fixture.held.Add(2);
  auto pick = PickFromRegion(fixture.MakeInput(2));
  REQUIRE(pick);
  CHECK(pick->chunk == 3);
  CHECK(pick->peer == "b");
  fixture.inFlight.insert(3);
  pick = PickFromRegion(fixture.MakeInput(2));
  REQUIRE(pick);
  CHECK(pick->chunk == 1);
  CHECK(pick->peer == "b");
  fixture.peers.BeginFetch("b");
  CHECK(PickFromRegion(fixture.MakeInput(2))->peer == "a");
  CHECK(PickRemotePeer(fixture.MakeInput(2), 5) == "far");
  CHECK_FALSE(PickRemotePeer(fixture.MakeInput(2), 1));
}

TEST_CASE("a faulty peer is avoided with backoff until it sends a chunk")
{
  struct Row
  {
    PeerFault fault;
    int times;
    std::int64_t avoidedAt;
    std::int64_t usableAt;
  };
  const std::vector<Row> rows{
    { PeerFault::Busy, 5, 50, 100 },
    { PeerFault::Failed, 1, 900, 1000 },
    { PeerFault::Failed, 3, 3900, 4000 },
    { PeerFault::Corrupt, 1, 4900, 5000 },
    { PeerFault::Corrupt, 2, 9900, 10000 },
    { PeerFault::Corrupt, 60, 79000, 80000 },
  };
  for (const auto& row : rows) {
    PickerFixture fixture;
    fixture.peers.Merge(MakeOffer("a", { 1 }), Millis(0));
    for (int attempt = 0; attempt < row.times; ++attempt) {
      fixture.peers.RecordFault("a", row.fault, Millis(0));
    }
    CHECK_FALSE(PickFromRegion(fixture.MakeInput(row.avoidedAt)));
    CHECK(PickFromRegion(fixture.MakeInput(row.usableAt)));
    fixture.peers.RecordChunk("a");
    fixture.peers.RecordFault("a", PeerFault::Failed, Millis(0));
    CHECK(PickFromRegion(fixture.MakeInput(1000)));
  }
}

// A crashed holder that is still listed must not keep other sides from fetching
// the chunk from outside the region.
TEST_CASE("a holder that fails repeatedly does not count as a holder")
{
  PickerFixture fixture;
  fixture.peers.Merge(MakeOffer("a", { 1 }), Millis(0));
  fixture.peers.RecordFault("a", PeerFault::Failed, Millis(0));
  CHECK(CountHolders(fixture.MakeInput(0), 1) == 1);
  fixture.peers.RecordFault("a", PeerFault::Failed, Millis(0));
  CHECK(CountHolders(fixture.MakeInput(0), 1) == 0);
  fixture.peers.RecordChunk("a");
  CHECK(CountHolders(fixture.MakeInput(0), 1) == 1);
}

TEST_CASE("a peer's offer is dropped when it lacks a chunk or restarts")
{
  PickerFixture fixture;
  fixture.peers.Merge(MakeOffer("a", { 1, 2 }), Millis(0));
  fixture.peers.RecordFault("a", PeerFault::Missing, Millis(0));
  CHECK_FALSE(PickFromRegion(fixture.MakeInput(10000)));
  fixture.peers.Merge(MakeOffer("a", { 1, 2 }, 9), Millis(0));
  fixture.peers.Merge(MakeOffer("a", { 4 }, 0, "second"), Millis(0));
  CHECK(fixture.peers.Find("a")->held.GetCount() == 1);
  CHECK(fixture.peers.Find("a")->uploadedChunks == 0);
  CHECK_FALSE(fixture.peers.Merge(MakeOffer("nobody", { 4 }), Millis(0)));
}

TEST_CASE("a rank fetches an extent after the lower ranks made no progress")
{
  const std::vector<std::string> ranks{ "a", "b", "own" };
  constexpr Millis kRankTimeout(1000);
  PickerFixture fixture;
  auto due = [&](std::int64_t aNow) {
    return IsFailoverDue(
      ranks, "own", fixture.peers, kRankTimeout, Millis(aNow));
  };
  CHECK(IsFailoverDue(ranks, "a", fixture.peers, kRankTimeout, Millis(0)));
  CHECK_FALSE(due(1999));
  CHECK(due(2000));
  // A lower rank that is slow but makes progress is not replaced.
  fixture.peers.Merge(MakeOffer("b", { 1 }), Millis(1500));
  CHECK_FALSE(due(3499));
  CHECK(due(3500));
  // A rank that is no longer listed is skipped.
  fixture.peers.Merge(MakeOffer("b", { 2 }), Millis(3500));
  CHECK_FALSE(due(3600));
  fixture.peers.KeepOnly({ "a" });
  CHECK(due(3600));
}

TEST_CASE("extents cover all chunks and differ in size by at most one")
{
  for (std::size_t chunks : { 1, 7, 48, 49, 1000 }) {
    std::vector<std::size_t> sizes(CountExtents(chunks));
    for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
      ++sizes.at(GetExtent(chunk, chunks));
    }
    auto [least, most] = std::ranges::minmax(sizes);
    CHECK(least >= 1);
    CHECK(most - least <= 1);
  }
}

TEST_CASE("the link delays bytes by its rate, and live bytes delay chunks")
{
  net::TokenBucket bucket(1000);
  CHECK(bucket.Take(20, Millis(1000)) == Millis(0));
  CHECK(bucket.Take(100, Millis(1000)) == Millis(100));
  CHECK(bucket.Take(100, Millis(1000)) == Millis(200));
  CHECK(bucket.Take(100, Millis(1250)) == Millis(80));
  CHECK(net::TokenBucket(0).Take(1 << 30, Millis(0)) == Millis(0));

  net::Pacer pacer(1000, utils::Clock([] { return Millis(5000); }));
  CHECK(pacer.Take(20) == Millis(0));
  pacer.Charge(300);
  pacer.Charge(200);
  CHECK(pacer.Take(100) == Millis(600));
}

TEST_CASE("a region's budget is split by fetchers and shrinks with delay")
{
  RegionShare share(8000);
  share.SetFetcherCount(4);
  CHECK(share.GetRate() == 2000);
  share.RecordDelay(Millis(10));
  share.RecordDelay(Millis(60));
  CHECK(share.GetRate() == 2000);
  share.RecordDelay(Millis(71));
  CHECK(share.GetRate() == 1000);
  for (int late = 0; late < 9; ++late) {
    share.RecordDelay(Millis(500));
  }
  CHECK(share.GetRate() == 250);
  for (int early = 0; early < 9; ++early) {
    share.RecordDelay(Millis(20));
  }
  CHECK(share.GetRate() == 2000);
  RegionShare unlimited(0);
  unlimited.RecordDelay(Millis(1));
  CHECK(unlimited.GetRate() == 0);
}

TEST_CASE("a chunk is uploaded twice, then once per two upload times")
{
  UploadLimit limit;
  auto chunk = utils::Digest::Of("rare");
  CHECK(limit.TryBegin(chunk, Millis(0)));
  CHECK(limit.TryBegin(chunk, Millis(10)));
  limit.End(Millis(1000));
  CHECK_FALSE(limit.TryBegin(chunk, Millis(1000)));
  CHECK(limit.TryBegin(utils::Digest::Of("another"), Millis(1000)));
  CHECK(limit.TryBegin(chunk, Millis(2010)));
  CHECK_FALSE(limit.TryBegin(chunk, Millis(2020)));
  CHECK(limit.TryBegin(chunk, Millis(4010)));
}
