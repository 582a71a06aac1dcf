#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <DirectoryFollower.h>

using namespace waxwingyoke;
using namespace waxwingyoke::fleet;
using platform::KeyedPage;
using platform::KeyedRecord;
using platform::Topic;
using utils::Millis;

namespace {

// A request may reach an upstream for this long after its removal.
constexpr Millis kRemovalBound(2000);

/** A log whose answers the test sets. */
class ScriptedLog : public platform::KeyedLog
{
public:
  std::optional<KeyedPage> ReadNewest(Topic, utils::Error& aReason) override
  {
    return Answer(newest, aReason);
  }

  std::optional<KeyedPage> Read(Topic,
                                std::uint64_t,
                                Millis aWait,
                                utils::Error& aReason) override
  {
    lastWait = aWait;
    if (onRead) {
      onRead();
    }
    if (std::exchange(trimmed, false)) {
      aReason.Set(utils::ErrorKind::LogTrimmed, "trimmed");
      return std::nullopt;
    }
    return Answer(changes, aReason);
  }

  bool Append(Topic,
              const std::string&,
              const std::string&,
              utils::Error&) override
  {
    return available;
  }

  /** Runs in each read for changes before its answer. */
  std::function<void()> onRead;
  bool available = true;
  bool trimmed = false;
  Millis lastWait;
  KeyedPage newest;
  KeyedPage changes;

private:
  std::optional<KeyedPage> Answer(const KeyedPage& aPage,
                                  utils::Error& aReason) const
  {
    if (!available) {
      aReason.Set(utils::ErrorKind::LogUnavailable, "unavailable");
      return std::nullopt;
    }
    return aPage;
  }
};

const net::Endpoint kAddress{ "10.0.0.1", 80 };
const net::Endpoint kOtherAddress{ "10.0.0.2", 80 };

// An upstream's record is its state; "moved": ready at the other address.
platform::FleetCodecs
MakeCodecs()
{
  platform::FleetCodecs codecs;
  codecs.parseUpstream =
    [](std::string_view aId, std::string_view aText, utils::Error&) {
      platform::Upstream upstream;
      upstream.id = aId;
      upstream.service = "service";
      upstream.endpoint = aText == "moved" ? kOtherAddress : kAddress;
      upstream.startedMs = 1;
      upstream.draining = aText == "draining";
      return std::optional(upstream);
    };
  return codecs;
}

schema::DirectoryNews
MakeUpdate(std::uint64_t aFrom,
           std::uint64_t aEnd,
           const std::vector<KeyedRecord>& aRecords = {})
{
  schema::DirectoryNews update;
  update.set_from(aFrom);
  update.set_end(aEnd);
  for (const auto& record : aRecords) {
    auto& row = *update.add_records();
    row.set_key(record.key);
    row.set_value(record.value);
    row.set_offset(record.offset);
    row.set_dropped(record.dropped);
  }
  return update;
}

schema::DirectoryNews
MakeSteadyUpdate(std::uint64_t aEnd,
                 Millis aSteadyTime,
                 std::uint64_t aEpoch = 0,
                 const std::vector<KeyedRecord>& aRecords = {})
{
  auto update = MakeUpdate(aEnd - 1, aEnd, aRecords);
  update.set_epoch(aEpoch);
  update.set_steady_ms(static_cast<std::uint64_t>(aSteadyTime.value));
  return update;
}

KeyedRecord
MakeRemoval(std::uint64_t aOffset)
{
  return { "a", "", aOffset, true };
}

/** An entry that has read a directory with the upstreams a and b, at end 2. */
struct Fixture
{
  Fixture()
  {
    log.newest = { { { "a", "ready", 0, false }, { "b", "ready", 1, false } },
                   2 };
    log.changes = { {}, 2 };
    REQUIRE(follower.Poll());
  }

  void Advance(Millis aTime) { now = now + aTime; }

  /** Reads that the log refuses, one each aInterval. */
  void FailReads(int aCount, Millis aInterval)
  {
    log.available = false;
    for (int i = 0; i < aCount; ++i) {
      Advance(aInterval);
      REQUIRE_FALSE(follower.Poll());
    }
    log.available = true;
  }

  /** Reads the removal of a, which the log holds at aOffset. */
  void ReadRemoval(std::uint64_t aOffset = 2)
  {
    log.changes = { { MakeRemoval(aOffset) }, aOffset + 1 };
    REQUIRE(follower.Poll());
  }

  /** An update of an entry of the same region. */
  void ApplyLocal(const schema::DirectoryNews& aUpdate)
  {
    follower.ApplyUpdate(aUpdate);
    follower.ShortenGrace(aUpdate);
  }

  /** Reads the directory without a, from a log restored as of aEpoch. */
  void ReadRestored(std::uint64_t aEpoch)
  {
    log.newest = { { { "b", "ready", 1, false } }, 2 };
    log.newest.epoch = aEpoch;
    log.changes = { {}, 2 };
    log.changes.epoch = aEpoch;
    REQUIRE(follower.Poll());
  }

  bool Holds(const std::string& aId) const
  {
    return registry.Find(aId) != nullptr;
  }

  Millis now{ 100000 };
  ScriptedLog log;
  dispatch::UpstreamRegistry registry;
  DirectoryFollower follower{ log, MakeCodecs(), registry, utils::Clock([this] {
                                return now;
                              }) };
};

} // namespace

// An entry that was suspended, or whose datagrams were lost, sees no update for
// as long as in an outage. It must not keep what was removed meanwhile.
TEST_CASE("an update after a suspension without a failed read opens no grace")
{
  Fixture fixture;
  fixture.Advance(Millis(4000));
  SUBCASE("the update follows the last one")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(2, 3, { MakeRemoval(2) }));
  }
  SUBCASE("updates were lost")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(7, 8, { MakeRemoval(7) }));
  }
  SUBCASE("the update comes in parts")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(2, 5));
    fixture.follower.ApplyUpdate(MakeUpdate(5, 8, { MakeRemoval(7) }));
  }
  SUBCASE("the entry's own read finds the removal")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(2, 2));
    fixture.ReadRemoval();
  }
  SUBCASE("the directory no longer lists the upstream")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(7, 8));
    fixture.log.trimmed = true;
    fixture.log.newest = { { { "b", "ready", 1, false } }, 8 };
    REQUIRE(fixture.follower.Poll());
  }
  CHECK_FALSE(fixture.Holds("a"));
  CHECK(fixture.Holds("b"));
}

// A lost datagram leaves a gap that an entry can't close while the log refuses
// it alone. The updates after the gap still show that others read the log.
TEST_CASE("an update after a gap shows that the log serves other entries")
{
  Fixture fixture;
  for (std::uint64_t end = 5; end < 10; ++end) {
    fixture.FailReads(1, Millis(800));
    fixture.follower.ApplyUpdate(MakeUpdate(end - 1, end));
  }
  fixture.FailReads(1, Millis(400));
  SUBCASE("the removal comes with an update")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(9, 10, { MakeRemoval(9) }));
  }
  SUBCASE("an update precedes the entry's own read")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(9, 9));
    fixture.ReadRemoval();
  }
  SUBCASE("the directory no longer lists the upstream")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(9, 9));
    fixture.log.trimmed = true;
    fixture.log.newest = { { { "b", "ready", 1, false } }, 9 };
    REQUIRE(fixture.follower.Poll());
  }
  SUBCASE("an update follows the entry's own read")
  {
    fixture.ReadRemoval();
    fixture.Advance(kRemovalBound - Millis(400));
    fixture.follower.ApplyUpdate(MakeUpdate(9, 9));
  }
  CHECK_FALSE(fixture.Holds("a"));
  CHECK(fixture.Holds("b"));
}

// Guards against requests to an upstream that left while the log and all other
// entries were out of this entry's reach, which it takes for an outage of all.
TEST_CASE("another entry's reads end the grace of an entry that was cut off")
{
  Fixture fixture;
  fixture.FailReads(5, Millis(800));
  SUBCASE("the entry's own read comes first")
  {
    fixture.ReadRemoval();
    REQUIRE(fixture.Holds("a"));
    fixture.Advance(Millis(100));
    fixture.ApplyLocal(MakeSteadyUpdate(3, Millis(60000)));
  }
  SUBCASE("the update comes first")
  {
    fixture.ApplyLocal(MakeSteadyUpdate(2, Millis(60000)));
    fixture.ReadRemoval();
  }
  SUBCASE("the update contains the removal")
  {
    fixture.ApplyLocal(
      MakeSteadyUpdate(3, Millis(60000), 0, { MakeRemoval(2) }));
  }
  CHECK_FALSE(fixture.Holds("a"));
  CHECK(fixture.Holds("b"));
}

// Guards against the loss of upstreams that expired in an outage, because of an
// update that does not show that the log answered in it.
TEST_CASE("another entry's reads since an outage leave the rest of its grace")
{
  Fixture fixture;
  fixture.FailReads(5, Millis(800));
  fixture.ReadRemoval();
  fixture.Advance(Millis(1500));
  SUBCASE("it read first when the outage ended")
  {
    fixture.ApplyLocal(MakeSteadyUpdate(3, Millis(1500)));
  }
  SUBCASE("it states nothing")
  {
    fixture.ApplyLocal(MakeUpdate(3, 3));
  }
  SUBCASE("it is of another region")
  {
    fixture.follower.ApplyUpdate(MakeSteadyUpdate(3, Millis(60000)));
  }
  CHECK(fixture.Holds("a"));
  fixture.Advance(Millis(1000));
  fixture.follower.Step();
  CHECK_FALSE(fixture.Holds("a"));
}

// Guards against requests to an upstream that left before or after a restore of
// the log, by an entry that was suspended across it.
TEST_CASE("the grace after a restore counts from another entry's observation")
{
  constexpr Millis kSinceRestore(4000);
  Fixture fixture;
  fixture.ReadRestored(1);
  fixture.ApplyLocal(MakeSteadyUpdate(2, Millis(60000), 1));
  fixture.follower.ApplyUpdate(
    MakeSteadyUpdate(3, Millis(0), 1, { { "a", "ready", 2, false } }));
  REQUIRE(fixture.Holds("a"));
  fixture.Advance(Millis(6000));
  SUBCASE("the entry's own read comes first")
  {
    fixture.ReadRestored(2);
    REQUIRE(fixture.Holds("a"));
    fixture.ApplyLocal(MakeSteadyUpdate(2, kSinceRestore, 2));
    CHECK_FALSE(fixture.Holds("a"));
  }
  SUBCASE("the update comes first")
  {
    fixture.ApplyLocal(MakeSteadyUpdate(2, kSinceRestore, 2));
    fixture.ReadRestored(2);
    CHECK_FALSE(fixture.Holds("a"));
  }
  SUBCASE("the other entry has observed the restore just before")
  {
    fixture.ReadRestored(2);
    fixture.ApplyLocal(MakeSteadyUpdate(2, Millis(500), 2));
    fixture.Advance(Millis(1900));
    fixture.follower.Step();
    CHECK(fixture.Holds("a"));
  }
  SUBCASE("the other entry has not observed the restore")
  {
    fixture.ReadRestored(2);
    fixture.ApplyLocal(MakeSteadyUpdate(9, Millis(60000), 1));
    fixture.Advance(Millis(2400));
    fixture.follower.Step();
    CHECK(fixture.Holds("a"));
  }
  CHECK(fixture.Holds("b"));
}

// Guards against a grace that ends early by the statement of an entry that was
// suspended itself, or has not yet observed for how long the log answers.
TEST_CASE("an entry states only the time in which it has observed the log")
{
  Fixture fixture;
  std::vector<schema::DirectoryNews> updates;
  fixture.follower.OnUpdate(
    [&updates](const auto& aUpdate) { updates.push_back(aUpdate); });
  auto poll = [&] {
    REQUIRE(fixture.follower.Poll());
    return updates.back().steady_ms();
  };
  CHECK(poll() == 0);
  for (int i = 0; i < 5; ++i) {
    fixture.Advance(Millis(2000));
    fixture.FailReads(1, Millis(0));
    poll();
  }
  CHECK(poll() == 10000);
  SUBCASE("it was suspended")
  {
    fixture.Advance(Millis(4000));
    CHECK(poll() == 0);
  }
  SUBCASE("it was suspended and receives what was sent before")
  {
    fixture.Advance(Millis(4000));
    fixture.ApplyLocal(MakeSteadyUpdate(3, Millis(60000)));
    CHECK(poll() == 0);
  }
  SUBCASE("the log was unavailable")
  {
    fixture.FailReads(5, Millis(800));
    CHECK(poll() == 0);
  }
  SUBCASE("the log was restored")
  {
    fixture.ReadRestored(1);
    fixture.Advance(Millis(1000));
    poll();
    fixture.ReadRestored(2);
    fixture.Advance(Millis(500));
    CHECK(poll() == 500);
  }
}

// A lost answer or a single refusal is no outage in which entries expire.
TEST_CASE("a failed read does not hold a removed upstream beyond its bound")
{
  Fixture fixture;
  auto lastReadAt = fixture.now;
  fixture.FailReads(1, Millis(1500));
  fixture.Advance(Millis(40));
  fixture.ReadRemoval();
  fixture.log.changes = { {}, 3 };
  while (fixture.now < lastReadAt + kRemovalBound) {
    fixture.Advance(Millis(10));
    fixture.follower.ApplyUpdate(MakeUpdate(3, 3));
  }
  CHECK_FALSE(fixture.Holds("a"));
}

// An entry that is suspended while it waits for an answer finds its time over
// when it resumes. The read fails, though the log was available.
TEST_CASE("a read that fails because of a suspension shows no outage")
{
  Fixture fixture;
  fixture.log.onRead = [&fixture] { fixture.Advance(Millis(4000)); };
  fixture.FailReads(1, Millis(0));
  fixture.log.onRead = nullptr;
  SUBCASE("the entry reads the removal itself")
  {
    fixture.Advance(Millis(40));
    fixture.ReadRemoval();
  }
  SUBCASE("an update brings the removal")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(2, 3, { MakeRemoval(2) }));
  }
  CHECK_FALSE(fixture.Holds("a"));
}

// The log turned the entry away alone at first and then all entries. What
// expired in the second part must stay until it has registered again.
TEST_CASE("an outage of all entries that begins as one of this entry alone")
{
  Fixture fixture;
  fixture.FailReads(3, Millis(800));
  fixture.follower.ApplyUpdate(MakeUpdate(2, 2));
  fixture.FailReads(8, Millis(800));
  fixture.ReadRemoval();
  CHECK(fixture.Holds("a"));
  fixture.Advance(Millis(2000));
  fixture.log.changes = { { { "a", "ready", 3, false } }, 4 };
  REQUIRE(fixture.follower.Poll());
  fixture.Advance(Millis(3000));
  REQUIRE(fixture.follower.Poll());
  CHECK(fixture.Holds("a"));
}

// Each way in which an entry can observe the end of an outage of all entries.
TEST_CASE("what expired in an outage of all entries stays for the grace")
{
  Fixture fixture;
  fixture.FailReads(5, Millis(800));
  SUBCASE("the entry's own read ends it")
  {
    fixture.ReadRemoval();
  }
  SUBCASE("an update ends it")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(2, 3, { MakeRemoval(2) }));
  }
  SUBCASE("an update after a gap ends it, and a read follows")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(4, 5));
    fixture.FailReads(1, Millis(100));
    fixture.ReadRemoval();
  }
  SUBCASE("the directory no longer lists the upstream")
  {
    fixture.log.trimmed = true;
    fixture.log.newest = { { { "b", "ready", 1, false } }, 8 };
    REQUIRE(fixture.follower.Poll());
  }
  CHECK(fixture.Holds("a"));
  fixture.Advance(Millis(2000));
  fixture.log.changes = { {}, 8 };
  REQUIRE(fixture.follower.Poll());
  CHECK(fixture.Holds("a"));
  fixture.Advance(Millis(1000));
  REQUIRE(fixture.follower.Poll());
  CHECK_FALSE(fixture.Holds("a"));
}

// The grace holds dropped entries only: a record that states that an upstream
// drains applies at once, whatever the entry makes of the log.
TEST_CASE("an upstream that announces draining gets nothing during a grace")
{
  Fixture fixture;
  fixture.FailReads(5, Millis(800));
  KeyedRecord draining{ "a", "draining", 5, false };
  SUBCASE("its own read")
  {
    fixture.log.changes = { { draining }, 6 };
    REQUIRE(fixture.follower.Poll());
  }
  SUBCASE("an update")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(2, 6, { draining }));
  }
  SUBCASE("an update after a gap")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(5, 6, { draining }));
  }
  SUBCASE("the complete directory")
  {
    fixture.log.trimmed = true;
    fixture.log.newest = { { draining, { "b", "ready", 1, false } }, 8 };
    REQUIRE(fixture.follower.Poll());
  }
  REQUIRE(fixture.Holds("a"));
  CHECK(fixture.registry.Find("a")->record.draining);
}

// Guards against requests that go to an upstream's old address after the
// directory has stated another one for the same incarnation.
TEST_CASE("an upstream's new address applies with the record that states it")
{
  Fixture fixture;
  KeyedRecord moved{ "a", "moved", 5, false };
  SUBCASE("its own read")
  {
    fixture.log.changes = { { moved }, 6 };
    REQUIRE(fixture.follower.Poll());
  }
  SUBCASE("a read after an outage")
  {
    fixture.FailReads(5, Millis(800));
    fixture.log.changes = { { moved }, 6 };
    REQUIRE(fixture.follower.Poll());
  }
  SUBCASE("an update")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(2, 6, { moved }));
  }
  SUBCASE("an update while its read waits")
  {
    fixture.log.onRead = [&] {
      fixture.follower.ApplyUpdate(MakeUpdate(2, 6, { moved }));
    };
    REQUIRE(fixture.follower.Poll());
  }
  SUBCASE("an update after a gap, and a read of the gap that is older")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(5, 6, { moved }));
    fixture.log.changes = { { { "a", "ready", 4, false } }, 5 };
    REQUIRE(fixture.follower.Poll());
  }
  SUBCASE("the complete directory")
  {
    fixture.log.trimmed = true;
    fixture.log.newest = { { moved, { "b", "ready", 1, false } }, 8 };
    REQUIRE(fixture.follower.Poll());
  }
  REQUIRE(fixture.Holds("a"));
  CHECK(fixture.registry.Find("a")->record.endpoint == kOtherAddress);
}

// A read that waits for changes must not delay a removal that falls due.
TEST_CASE("an entry waits no longer for changes than until the next removal")
{
  constexpr Millis kWait(700);
  Fixture fixture;
  fixture.FailReads(5, Millis(800));
  fixture.ReadRemoval();
  auto heldFrom = fixture.now;
  fixture.log.changes = { {}, 3 };
  fixture.log.onRead = [&fixture] { fixture.Advance(fixture.log.lastWait); };
  while (fixture.Holds("a")) {
    REQUIRE(fixture.follower.Poll(kWait));
  }
  CHECK((fixture.now - heldFrom).value == 2500);
  REQUIRE(fixture.follower.Poll(kWait));
  CHECK(fixture.log.lastWait == kWait);
}

// A complete read of the directory finds many removals at once, all as of its
// end. They take several datagrams, and a lost one must leave a gap, or its
// receiver keeps the upstreams that it removed.
TEST_CASE("removals in parts: a lost part leaves a gap")
{
  constexpr std::uint64_t kUpstreams = 120;
  ScriptedLog log;
  for (std::uint64_t i = 0; i < kUpstreams; ++i) {
    auto key = std::to_string(i) + std::string(100, 'u');
    log.newest.records.push_back({ key, "ready", i, false });
  }
  log.newest.end = kUpstreams;
  dispatch::UpstreamRegistry readerRegistry;
  DirectoryFollower reader(log, MakeCodecs(), readerRegistry);
  std::vector<schema::DirectoryNews> updates;
  reader.OnUpdate(
    [&updates](const auto& aUpdate) { updates.push_back(aUpdate); });
  dispatch::UpstreamRegistry registry;
  DirectoryFollower receiver(log, MakeCodecs(), registry);
  REQUIRE(reader.Poll());
  REQUIRE(receiver.Poll());
  log.newest.records.resize(kUpstreams / 4);
  log.newest.records.back() = { "new", "ready", kUpstreams + 50, false };
  log.newest.end = 2 * kUpstreams;
  log.trimmed = true;
  REQUIRE(reader.Poll());
  REQUIRE(updates.size() >= 3);
  SUBCASE("the receiver has read nothing since") {}
  SUBCASE("the receiver has read nearly all of it since")
  {
    log.changes = { { log.newest.records.back() }, 2 * kUpstreams - 1 };
    REQUIRE(receiver.Poll());
  }
  auto end = kUpstreams;
  for (const auto& update : updates) {
    CHECK(update.from() == end);
    CHECK(update.end() > end);
    end = update.end();
    receiver.ApplyUpdate(update);
  }
  CHECK(end == 2 * kUpstreams);
  CHECK(registry.ListIds() == readerRegistry.ListIds());
  CHECK(registry.ListIds().size() == kUpstreams / 4);
}

// A read of a gap may be limited or cut and then contain only records older
// than those that updates brought, and updates may overtake each other. The
// entry must not send to a draining or removed upstream again.
TEST_CASE("an older record does not revert one that was applied after a gap")
{
  Fixture fixture;
  KeyedRecord ready{ "a", "ready", 4, false };
  SUBCASE("draining, a cut read of the gap")
  {
    fixture.follower.ApplyUpdate(
      MakeUpdate(6, 7, { { "a", "draining", 6, false } }));
    fixture.log.changes = { { ready }, 5 };
    REQUIRE(fixture.follower.Poll());
  }
  SUBCASE("draining, an update that was overtaken")
  {
    fixture.follower.ApplyUpdate(
      MakeUpdate(6, 7, { { "a", "draining", 6, false } }));
    fixture.follower.ApplyUpdate(MakeUpdate(2, 6, { ready }));
  }
  SUBCASE("draining, an older copy of the complete directory")
  {
    fixture.follower.ApplyUpdate(
      MakeUpdate(6, 7, { { "a", "draining", 6, false } }));
    fixture.log.trimmed = true;
    fixture.log.newest = { { ready, { "b", "ready", 1, false } }, 5 };
    REQUIRE(fixture.follower.Poll());
  }
  SUBCASE("a removal, a cut read of the gap")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(6, 7, { MakeRemoval(6) }));
    fixture.log.changes = { { ready }, 5 };
    REQUIRE(fixture.follower.Poll());
  }
  auto held = fixture.registry.Find("a");
  CHECK((!held || held->record.draining));
  // A newer record applies, also after the gap was read.
  fixture.log.changes = { { { "a", "ready", 8, false } }, 9 };
  REQUIRE(fixture.follower.Poll());
  REQUIRE(fixture.Holds("a"));
  CHECK_FALSE(fixture.registry.Find("a")->record.draining);
}

// The first read after a suspension may fail, as its connection was closed
// meanwhile. The time before it is no outage.
TEST_CASE("a suspension between two reads and a failed read show no outage")
{
  Fixture fixture;
  fixture.follower.SetReadRank(1);
  fixture.Advance(fixture.follower.Step());
  fixture.Advance(Millis(4000));
  fixture.log.available = false;
  fixture.Advance(fixture.follower.Step());
  fixture.log.available = true;
  fixture.log.changes = { { MakeRemoval(2) }, 3 };
  fixture.follower.Step();
  CHECK_FALSE(fixture.Holds("a"));
}

// The read loop itself, with each rank: an outage in which it keeps running.
TEST_CASE("the read loop keeps what expired in an outage of all entries")
{
  Fixture fixture;
  SUBCASE("the entry that reads for all")
  {
    fixture.follower.SetReadRank(0);
  }
  SUBCASE("the next entry")
  {
    fixture.follower.SetReadRank(1);
  }
  SUBCASE("the last entry")
  {
    fixture.follower.SetReadRank(20);
  }
  auto recoversAt = fixture.now + Millis(5000);
  fixture.log.available = false;
  while (fixture.now < recoversAt) {
    fixture.Advance(fixture.follower.Step());
  }
  fixture.log.available = true;
  fixture.log.changes = { { MakeRemoval(2) }, 3 };
  fixture.follower.Step();
  CHECK(fixture.Holds("a"));
}

// After a suspension within a read, an update may be received before the read
// fails. The time of the suspension must not shorten an outage that follows.
TEST_CASE("a suspension that an update has ended hides no later outage")
{
  Fixture fixture;
  fixture.log.onRead = [&fixture] {
    fixture.Advance(Millis(4000));
    fixture.follower.ApplyUpdate(MakeUpdate(2, 2));
  };
  fixture.FailReads(1, Millis(0));
  fixture.log.onRead = nullptr;
  fixture.FailReads(4, Millis(800));
  fixture.ReadRemoval();
  CHECK(fixture.Holds("a"));
}

// Two entries read the same record. A third that misses the first one's update
// takes the second one's for complete, so it has to contain the record as well.
TEST_CASE("an update contains what its sender received from another entry")
{
  Fixture fixture;
  std::vector<schema::DirectoryNews> updates;
  fixture.follower.OnUpdate(
    [&updates](const auto& aUpdate) { updates.push_back(aUpdate); });
  KeyedRecord draining{ "a", "draining", 4, false };
  SUBCASE("while its read waited")
  {
    fixture.log.onRead = [&] {
      fixture.follower.ApplyUpdate(MakeUpdate(2, 5, { draining }));
    };
  }
  SUBCASE("after a gap")
  {
    fixture.follower.ApplyUpdate(MakeUpdate(4, 5, { draining }));
  }
  fixture.log.changes = { { { "b", "ready", 2, false }, draining }, 5 };
  REQUIRE(fixture.follower.Poll());
  REQUIRE(updates.size() == 1);
  CHECK(updates.front().from() == 2);
  REQUIRE(updates.front().records_size() == 1);
  CHECK(updates.front().records(0).key() == "a");
  // Once only: what it had before its next read is not repeated.
  fixture.log.onRead = nullptr;
  fixture.log.changes = { {}, 5 };
  REQUIRE(fixture.follower.Poll());
  CHECK(updates.back().records_size() == 0);
}
