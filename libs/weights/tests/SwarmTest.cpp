#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <ChunkSet.h>
#include <PeerBook.h>
#include <Picker.h>
#include <RegionShare.h>
#include <StepIn.h>
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
          std::uint64_t aGiven = 0,
          const std::string& aIncarnation = "first")
{
  ChunkSet held(kChunks);
  std::ranges::for_each(aChunks, [&](auto aChunk) { held.Add(aChunk); });
  schema::PeerOffer offer;
  offer.set_vm(aVm);
  offer.set_incarnation(aIncarnation);
  offer.set_held(held.GetBytes());
  offer.set_given_chunks(aGiven);
  return offer;
}

struct Bed
{
  std::string vm = "own";
  std::string region = "north";
  ChunkSet held{ kChunks };
  std::set<std::size_t> running;
  PeerBook peers;

  Bed()
  {
    peers.See("a", "north", { "127.0.0.1", 1 }, Millis(0));
    peers.See("b", "north", { "127.0.0.1", 2 }, Millis(0));
    peers.See("far", "south", { "127.0.0.1", 3 }, Millis(0));
    peers.SetChunkCount(kChunks);
  }

  PickInput At(std::int64_t aNow) const
  {
    return { vm, region, held, running, peers, Millis(aNow) };
  }
};

} // namespace

TEST_CASE("a chunk set survives its bytes and cuts off surplus ones")
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

TEST_CASE("the rarest missing chunk is picked from the holder that gave least")
{
  Bed bed;
  bed.peers.Merge(MakeOffer("a", { 1, 2 }, 40), Millis(1));
  bed.peers.Merge(MakeOffer("b", { 1, 3 }, 8), Millis(1));
  bed.peers.Merge(MakeOffer("far", { 5 }), Millis(1));
  bed.held.Add(2);
  auto pick = PickFromRegion(bed.At(2));
  REQUIRE(pick);
  CHECK(pick->chunk == 3);
  CHECK(pick->peer == "b");
  bed.running.insert(3);
  pick = PickFromRegion(bed.At(2));
  REQUIRE(pick);
  CHECK(pick->chunk == 1);
  CHECK(pick->peer == "b");
  bed.peers.BeginFetch("b");
  CHECK(PickFromRegion(bed.At(2))->peer == "a");
  CHECK(PickRemotePeer(bed.At(2), 5) == "far");
  CHECK_FALSE(PickRemotePeer(bed.At(2), 1));
}

TEST_CASE("a faulty peer is left, longer each time, and forgiven")
{
  struct Row
  {
    PeerFault fault;
    int times;
    std::int64_t leftAt;
    std::int64_t backAt;
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
    Bed bed;
    bed.peers.Merge(MakeOffer("a", { 1 }), Millis(0));
    for (int time = 0; time < row.times; ++time) {
      bed.peers.NoteFault("a", row.fault, Millis(0));
    }
    CHECK_FALSE(PickFromRegion(bed.At(row.leftAt)));
    CHECK(PickFromRegion(bed.At(row.backAt)));
    bed.peers.NoteChunk("a");
    bed.peers.NoteFault("a", PeerFault::Failed, Millis(0));
    CHECK(PickFromRegion(bed.At(1000)));
  }
}

TEST_CASE("a holder that keeps failing does not keep others from stepping in")
{
  Bed bed;
  bed.peers.Merge(MakeOffer("a", { 1 }), Millis(0));
  bed.peers.NoteFault("a", PeerFault::Failed, Millis(0));
  CHECK(CountHolders(bed.At(0), 1) == 1);
  bed.peers.NoteFault("a", PeerFault::Failed, Millis(0));
  CHECK(CountHolders(bed.At(0), 1) == 0);
  bed.peers.NoteChunk("a");
  CHECK(CountHolders(bed.At(0), 1) == 1);
}

TEST_CASE("a peer that lacks what it offered, or began anew, offers nothing")
{
  Bed bed;
  bed.peers.Merge(MakeOffer("a", { 1, 2 }), Millis(0));
  bed.peers.NoteFault("a", PeerFault::Missing, Millis(0));
  CHECK_FALSE(PickFromRegion(bed.At(10000)));
  bed.peers.Merge(MakeOffer("a", { 1, 2 }, 9), Millis(0));
  bed.peers.Merge(MakeOffer("a", { 4 }, 0, "second"), Millis(0));
  CHECK(bed.peers.Find("a")->held.GetCount() == 1);
  CHECK(bed.peers.Find("a")->given == 0);
  CHECK_FALSE(bed.peers.Merge(MakeOffer("nobody", { 4 }), Millis(0)));
}

TEST_CASE("ranks bring an extent in one by one, each after the lower are still")
{
  const std::vector<std::string> ranks{ "a", "b", "own" };
  constexpr Millis kPatience(1000);
  Bed bed;
  auto due = [&](std::int64_t aNow) {
    return IsStepInDue(ranks, "own", bed.peers, kPatience, Millis(aNow));
  };
  CHECK(IsStepInDue(ranks, "a", bed.peers, kPatience, Millis(0)));
  CHECK_FALSE(due(1999));
  CHECK(due(2000));
  // A rank that is only slow keeps its turn.
  bed.peers.Merge(MakeOffer("b", { 1 }), Millis(1500));
  CHECK_FALSE(due(3499));
  CHECK(due(3500));
  // One that is gone from the list has none.
  bed.peers.Merge(MakeOffer("b", { 2 }), Millis(3500));
  CHECK_FALSE(due(3600));
  bed.peers.KeepOnly({ "a" });
  CHECK(due(3600));
}

TEST_CASE("extents cover all chunks evenly and ranks spread over the sides")
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

TEST_CASE("a link's bytes wait by its rate, and live bytes push chunks back")
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

TEST_CASE("a region's budget is split by fetchers and yields to delay")
{
  RegionShare share(8000);
  share.NoteFetchers(4);
  CHECK(share.GetRate() == 2000);
  share.NoteDelay(Millis(10));
  share.NoteDelay(Millis(60));
  CHECK(share.GetRate() == 2000);
  share.NoteDelay(Millis(71));
  CHECK(share.GetRate() == 1000);
  for (int late = 0; late < 9; ++late) {
    share.NoteDelay(Millis(500));
  }
  CHECK(share.GetRate() == 250);
  for (int early = 0; early < 9; ++early) {
    share.NoteDelay(Millis(20));
  }
  CHECK(share.GetRate() == 2000);
  RegionShare unlimited(0);
  unlimited.NoteDelay(Millis(1));
  CHECK(unlimited.GetRate() == 0);
}

TEST_CASE(
  "a chunk is given to two, then to one in each time that a upload takes")
{
  UploadLimit limit;
  auto chunk = utils::Digest::Of("rare");
  CHECK(limit.Begin(chunk, Millis(0)));
  CHECK(limit.Begin(chunk, Millis(10)));
  limit.End(Millis(1000));
  CHECK_FALSE(limit.Begin(chunk, Millis(1000)));
  CHECK(limit.Begin(utils::Digest::Of("another"), Millis(1000)));
  CHECK(limit.Begin(chunk, Millis(2010)));
  CHECK_FALSE(limit.Begin(chunk, Millis(2020)));
  CHECK(limit.Begin(chunk, Millis(4010)));
}
