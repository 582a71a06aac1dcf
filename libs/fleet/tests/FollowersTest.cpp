#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <ConfigFollower.h>
#include <ConfigSharing.h>
#include <DirectoryFollower.h>

using namespace waxwingyoke;
using namespace waxwingyoke::fleet;
using platform::KeyedPage;
using platform::Topic;
using utils::Millis;

namespace {

/** A log whose answers the test sets. */
class ScriptedLog : public platform::KeyedLog
{
public:
  std::optional<KeyedPage> ReadNewest(Topic, utils::Error& aReason) override
  {
    if (!available) {
      aReason.Set(utils::ErrorKind::LogUnavailable, "unavailable");
      return std::nullopt;
    }
    return newest;
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
    if (trimmed) {
      trimmed = false;
      aReason.Set(utils::ErrorKind::LogTrimmed, "trimmed");
      return std::nullopt;
    }
    if (!available) {
      aReason.Set(utils::ErrorKind::LogUnavailable, "unavailable");
      return std::nullopt;
    }
    return changes;
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
  /** The wait of the last read for changes. */
  Millis lastWait;
  bool available = true;
  bool trimmed = false;
  KeyedPage newest;
  KeyedPage changes;
};

// Formats: a configuration is its version number, a named version its number,
// an upstream its state.
platform::FleetCodecs
MakeCodecs()
{
  platform::FleetCodecs codecs;
  codecs.parseOperatorKey = [](std::string_view aKey) {
    platform::OperatorKey key;
    key.isConfig = aKey == "config";
    constexpr std::string_view kEvacuation = "evacuate/";
    if (aKey.starts_with(kEvacuation)) {
      key.evacuated = aKey.substr(kEvacuation.size());
      return key;
    }
    key.model = key.isConfig ? "" : std::string(aKey);
    return key;
  };
  codecs.parseConfig =
    [](std::string_view aText,
       utils::Error& aReason) -> std::optional<platform::FleetConfig> {
    if (aText == "broken") {
      aReason.Set(utils::ErrorKind::BadRequest, "broken");
      return std::nullopt;
    }
    platform::FleetConfig config;
    config.version = std::strtoull(std::string(aText).c_str(), nullptr, 10);
    return config;
  };
  codecs.parseNamedVersion = [](std::string_view aText, utils::Error&) {
    return std::optional<std::uint64_t>(
      std::strtoull(std::string(aText).c_str(), nullptr, 10));
  };
  codecs.parseUpstream =
    [](std::string_view aId,
       std::string_view aText,
       utils::Error& aReason) -> std::optional<platform::Upstream> {
    if (aText == "broken") {
      aReason.Set(utils::ErrorKind::BadRequest, "broken");
      return std::nullopt;
    }
    platform::Upstream upstream;
    upstream.id = aId;
    upstream.service = "service";
    upstream.startedMs = 1;
    upstream.draining = aText == "draining";
    return upstream;
  };
  return codecs;
}

KeyedPage
MakePage(std::vector<platform::KeyedRecord> aRecords, std::uint64_t aEnd)
{
  return { std::move(aRecords), aEnd };
}

} // namespace

TEST_CASE(
  "an older or unreadable configuration does not replace the current one")
{
  ScriptedLog log;
  ConfigFollower follower(log, MakeCodecs(), {});
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  CHECK(follower.Poll());
  REQUIRE(follower.GetConfig());
  CHECK(follower.GetConfig()->version == 5);
  log.changes = MakePage({ { "config", "3", 1, false } }, 2);
  follower.Poll();
  CHECK(follower.GetConfig()->version == 5);
  log.changes = MakePage({ { "config", "broken", 2, false } }, 3);
  follower.Poll();
  CHECK(follower.GetConfig()->version == 5);
  log.changes = MakePage({ { "config", "9", 3, false } }, 4);
  follower.Poll();
  CHECK(follower.GetConfig()->version == 9);
}

// Guards against a configuration that counts as the newest because the answer
// that would have shown a newer one was cut between two records.
TEST_CASE("a page that stops short of the log's end confirms nothing")
{
  ScriptedLog log;
  ConfigFollower follower(log, MakeCodecs(), {});
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  CHECK(follower.Poll());
  constexpr Millis kPause(20);
  std::this_thread::sleep_for(kPause.ToChrono());
  log.changes = MakePage({ { "config", "6", 1, false } }, 2);
  log.changes.reachesEnd = false;
  CHECK(follower.Poll());
  CHECK(follower.GetConfig()->version == 6);
  CHECK(follower.GetAge() >= kPause);
  log.changes = MakePage({ { "config", "7", 2, false } }, 3);
  // The process may be suspended after a read, so one read may not show it.
  constexpr int kMaxReads = 100;
  bool confirmed = false;
  for (int reads = 0; reads < kMaxReads && !confirmed; ++reads) {
    CHECK(follower.Poll());
    confirmed = follower.GetAge() < kPause;
  }
  CHECK(confirmed);
}

TEST_CASE("without a successful read there is no configuration and its age is "
          "unbounded")
{
  ScriptedLog log;
  log.available = false;
  ConfigFollower follower(log, MakeCodecs(), {});
  CHECK_FALSE(follower.Poll());
  CHECK_FALSE(follower.GetConfig());
  CHECK(follower.GetAge() > Millis(1000000));
}

TEST_CASE("a peer's record is applied with its age")
{
  ScriptedLog log;
  log.available = false;
  ConfigFollower follower(log, MakeCodecs(), {});
  auto makeRecord = [](std::uint64_t aAge) {
    schema::OperatorRecord record;
    record.set_config("7");
    record.set_offset(4);
    record.set_end(6);
    record.set_age_ms(aAge);
    auto& named = *record.add_versions();
    named.set_model("model");
    named.set_version(2);
    named.set_age_ms(3000);
    named.set_learnt_live(true);
    return record;
  };
  follower.ApplyPeerPosition({ 6 });
  CHECK(follower.IsBehind());
  follower.ApplyPeerRecord(makeRecord(1400), follower.Now() - Millis(100));
  CHECK_FALSE(follower.IsBehind());
  REQUIRE(follower.GetConfig());
  CHECK(follower.GetConfig()->version == 7);
  CHECK(follower.GetAge() >= Millis(1500));
  CHECK(follower.GetAge() < Millis(60000));
  // An older confirmation does not increase the age.
  follower.ApplyPeerRecord(makeRecord(90000), follower.Now());
  CHECK(follower.GetAge() < Millis(60000));
  // A version's limit counts from when the sender's topic still lacked it.
  CHECK(follower.FindVersion("model")->version == 2);
  CHECK(follower.FindVersionOfAge("model", Millis(3000)) == 2);
  CHECK(follower.FindVersionOfAge("model", Millis(60000)) == 0);
}

TEST_CASE("a version found after the log's recovery is timed from the recovery")
{
  ScriptedLog log;
  log.available = false;
  ConfigFollower follower(log, MakeCodecs(), {});
  follower.Poll();
  follower.Poll();
  log.available = true;
  log.newest = MakePage({ { "model", "3", 0, false } }, 1);
  follower.Poll();
  CHECK(follower.FindVersion("model")->GetLimitStart());
  CHECK(follower.FindVersionOfAge("model", Millis(5000)) == 0);
}

// Guards against a restarted process that gives an old version a new limit
// because a packet of its first read was lost.
TEST_CASE("one failed read at the start is no outage: a version that is in the "
          "topic may have been named any time ago")
{
  ScriptedLog log;
  log.available = false;
  ConfigFollower follower(log, MakeCodecs(), {});
  follower.Poll();
  log.available = true;
  log.newest = MakePage({ { "model", "3", 0, false } }, 1);
  follower.Poll();
  CHECK_FALSE(follower.FindVersion("model")->GetLimitStart());
  CHECK(follower.FindVersionOfAge("model", Millis(60000)) == 3);
}

namespace {

/** A follower whose clock the test sets, with a configuration read at 1000. */
struct TimedFollower
{
  static constexpr int kNamingRequests = 3;

  TimedFollower()
  {
    log.newest = MakePage({ { "config", "5", 0, false } }, 1);
    log.changes = MakePage({}, 1);
    REQUIRE(follower.Poll());
  }

  /** Starts a read that is answered after aTime. */
  bool PollFor(Millis aTime)
  {
    log.onRead = [this, aTime] { now = now + aTime; };
    return follower.Poll();
  }

  void NameVersion(const char* aVersion)
  {
    log.changes = MakePage({ { "m", aVersion, 1, false } }, 2);
  }

  Millis now{ 1000 };
  ScriptedLog log;
  ConfigFollower follower{ log,
                           MakeCodecs(),
                           { Millis(1000),
                             Millis(0),
                             false,
                             Millis(0),
                             Millis(400),
                             Millis(0),
                             kNamingRequests,
                             utils::Clock([this] { return now; }) } };
};

} // namespace

// Guards against a limit that counts from when a suspended process observes the
// next version.
TEST_CASE("a version that is observed late is timed from when the topic is "
          "known to have lacked it")
{
  TimedFollower process;
  // The log answers at the end of the wait, so it had no version until 2000.
  REQUIRE(process.PollFor(Millis(1010)));
  process.NameVersion("2");
  SUBCASE("after a suspension")
  {
    REQUIRE(process.PollFor(Millis(4000)));
  }
  SUBCASE("after a read without an answer")
  {
    process.log.available = false;
    REQUIRE_FALSE(process.PollFor(Millis(1800)));
    process.log.available = true;
    REQUIRE(process.PollFor(Millis(2200)));
  }
  CHECK(process.now == Millis(6010));
  CHECK(process.follower.FindLimitStart("m", 1) == Millis(2000));
  CHECK(process.follower.FindVersionOfAge("m", Millis(4010)) == 2);
  CHECK(process.follower.FindVersionOfAge("m", Millis(4011)) == 0);
}

TEST_CASE("reading the topic anew does not change when a version was named")
{
  TimedFollower process;
  REQUIRE(process.PollFor(Millis(1010)));
  process.NameVersion("2");
  REQUIRE(process.PollFor(Millis(10)));
  process.log.changes = MakePage({}, 2);
  REQUIRE(process.PollFor(Millis(1010)));
  process.log.trimmed = true;
  REQUIRE_FALSE(process.PollFor(Millis(10)));
  process.log.newest =
    MakePage({ { "config", "5", 0, false }, { "m", "2", 1, false } }, 2);
  REQUIRE(process.PollFor(Millis(10)));
  CHECK(process.follower.FindLimitStart("m", 1) == Millis(2000));
}

TEST_CASE("an outage of the log moves a version's limit, but not beyond the "
          "time at which another process observed the version")
{
  TimedFollower process;
  REQUIRE(process.PollFor(Millis(1010)));
  process.log.available = false;
  REQUIRE_FALSE(process.PollFor(Millis(1000)));
  REQUIRE_FALSE(process.PollFor(Millis(1000)));
  REQUIRE_FALSE(process.PollFor(Millis(1000)));
  process.log.available = true;
  process.NameVersion("2");
  REQUIRE(process.PollFor(Millis(10)));
  // The last read that failed was sent at 4010.
  CHECK(process.follower.FindLimitStart("m", 1) == Millis(4010));
  TimedFollower peer;
  peer.now = Millis(500000);
  REQUIRE(peer.PollFor(Millis(1010)));
  peer.NameVersion("2");
  REQUIRE(peer.PollFor(Millis(10)));
  peer.now = peer.now + Millis(2000);
  process.follower.ApplyPeerRecord(*peer.follower.MakeRecord(),
                                   process.follower.Now() - Millis(50));
  CHECK(process.follower.FindLimitStart("m", 1) == Millis(3020));
}

// Guards against a key that is accepted too long: the age of a peer's record
// must include the time for which this process was suspended while it fetched
// the record.
TEST_CASE("a record that was fetched during a suspension is as old as that")
{
  TimedFollower process;
  TimedFollower peer;
  auto requestedAt = process.follower.Now();
  auto record = *peer.follower.MakeRecord();
  process.now = process.now + Millis(4000);
  process.follower.ApplyPeerRecord(record, requestedAt);
  CHECK(process.follower.GetAge() == Millis(4000));
}

// Guards against reads that a change ends at the same time and that then stay
// in phase: no process would have read the topic shortly before the next one.
TEST_CASE("the first read after a change waits by rank, the others do not")
{
  constexpr std::size_t kCount = 4;
  for (std::size_t rank = 0; rank < kCount; ++rank) {
    TimedFollower process;
    process.follower.SetReadRank(rank, kCount);
    REQUIRE(process.PollFor(Millis(10)));
    CHECK(process.log.lastWait == Millis(250 * (rank + 1)));
    REQUIRE(process.PollFor(Millis(10)));
    CHECK(process.log.lastWait == Millis(1000));
    process.NameVersion("2");
    REQUIRE(process.PollFor(Millis(10)));
    process.log.changes = MakePage({}, 2);
    REQUIRE(process.PollFor(Millis(10)));
    CHECK(process.log.lastWait == Millis(250 * (rank + 1)));
  }
}

TEST_CASE("after each new version some peers are asked when it was named, and "
          "the one that read last before it decides")
{
  TimedFollower process;
  CHECK_FALSE(process.follower.TakeNamingRequest());
  process.NameVersion("2");
  REQUIRE(process.PollFor(Millis(800)));
  CHECK(process.follower.FindLimitStart("m", 1) == Millis(1000));
  for (int i = 0; i < TimedFollower::kNamingRequests; ++i) {
    CHECK(process.follower.TakeNamingRequest());
  }
  CHECK_FALSE(process.follower.TakeNamingRequest());
  TimedFollower peer;
  peer.follower.SetReadRank(1, 4);
  REQUIRE(peer.PollFor(Millis(510)));
  peer.NameVersion("2");
  REQUIRE(peer.PollFor(Millis(290)));
  REQUIRE(peer.now == process.now);
  process.follower.ApplyPeerRecord(*peer.follower.MakeRecord(),
                                   process.follower.Now() - Millis(20));
  CHECK(process.follower.FindLimitStart("m", 1) == Millis(1480));
}

// Guards against ages that grow, or shrink, each time two processes exchange
// them.
TEST_CASE("times that are passed on and back do not drift")
{
  TimedFollower first;
  TimedFollower second;
  second.now = Millis(900000);
  for (auto* process : { &first, &second }) {
    REQUIRE(process->PollFor(Millis(1010)));
    process->NameVersion("2");
    REQUIRE(process->PollFor(Millis(500)));
  }
  auto firstStart = *first.follower.FindLimitStart("m", 1);
  auto secondStart = *second.follower.FindLimitStart("m", 1);
  constexpr Millis kDelay(40);
  constexpr int kExchanges = 20;
  for (int i = 0; i < kExchanges; ++i) {
    auto record = *first.follower.MakeRecord();
    first.now = first.now + kDelay;
    second.now = second.now + kDelay;
    second.follower.ApplyPeerRecord(record, second.follower.Now() - kDelay);
    record = *second.follower.MakeRecord();
    first.now = first.now + kDelay;
    second.now = second.now + kDelay;
    first.follower.ApplyPeerRecord(record, first.follower.Now() - kDelay);
  }
  CHECK(first.follower.FindLimitStart("m", 1) == firstStart);
  CHECK(second.follower.FindLimitStart("m", 1) == secondStart);
}

TEST_CASE("a peer's version of unknown age is timed from this process's last "
          "read without it")
{
  ScriptedLog log;
  ConfigFollower follower(log, MakeCodecs(), {});
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  follower.Poll();
  schema::OperatorRecord record;
  record.set_end(3);
  auto& named = *record.add_versions();
  named.set_model("model");
  named.set_version(2);
  follower.ApplyPeerRecord(record, follower.Now());
  CHECK(follower.FindVersion("model")->version == 2);
  // Older versions stay allowed for now: other processes have only begun to
  // load this one.
  CHECK(follower.FindVersionOfAge("model", Millis(5000)) == 0);
}

TEST_CASE("each named version has a limit of its own")
{
  ScriptedLog log;
  ConfigFollower follower(log, MakeCodecs(), {});
  log.newest = MakePage({ { "model", "1", 0, false } }, 1);
  follower.Poll();
  CHECK_FALSE(follower.FindVersion("model")->GetLimitStart());
  log.changes =
    MakePage({ { "model", "2", 1, false }, { "model", "3", 2, false } }, 3);
  follower.Poll();
  CHECK(follower.FindVersion("model")->version == 3);
  CHECK(follower.FindVersion("model")->GetLimitStart());
  CHECK(follower.FindNextVersion("model", 1)->version == 2);
  CHECK_FALSE(follower.FindNextVersion("model", 3));
  // Version 1 was in the topic at the start; the others are recent.
  CHECK(follower.FindVersionOfAge("model", Millis(5000)) == 1);
  CHECK(follower.FindVersionOfAge("model", Millis(0)) == 3);
}

TEST_CASE("a trimmed topic is read again from its newest records")
{
  ScriptedLog log;
  ConfigFollower follower(log, MakeCodecs(), {});
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  follower.Poll();
  log.trimmed = true;
  CHECK_FALSE(follower.Poll());
  log.newest = MakePage({ { "config", "6", 9, false } }, 10);
  CHECK(follower.Poll());
  CHECK(follower.GetConfig()->version == 6);
}

TEST_CASE("directory: draining, dropped and unreadable entries")
{
  ScriptedLog log;
  dispatch::UpstreamRegistry registry;
  DirectoryFollower directory(log, MakeCodecs(), registry);
  log.newest = MakePage({ { "a", "ready", 0, false },
                          { "b", "ready", 1, false },
                          { "c", "broken", 2, false } },
                        3);
  directory.Poll();
  CHECK(registry.Find("a"));
  CHECK(registry.Find("b"));
  CHECK_FALSE(registry.Find("c"));
  log.changes =
    MakePage({ { "a", "draining", 3, false }, { "b", "", 4, true } }, 5);
  directory.Poll();
  CHECK(registry.Find("a")->record.draining);
  CHECK_FALSE(registry.Find("b"));
}

TEST_CASE("entries that expired during a log outage stay for a grace period")
{
  ScriptedLog log;
  dispatch::UpstreamRegistry registry;
  DirectoryFollower directory(log, MakeCodecs(), registry);
  log.newest = MakePage({ { "a", "ready", 0, false } }, 1);
  directory.Poll();
  log.available = false;
  directory.Poll();
  log.available = true;
  log.changes = MakePage({ { "a", "", 1, true } }, 2);
  directory.Poll();
  CHECK(registry.Find("a"));
  log.changes = MakePage({ { "a", "ready", 2, false } }, 3);
  directory.Poll();
  CHECK(registry.Find("a"));
}

// Entries that miss an update must detect the gap, or they keep sending
// requests to upstreams that were removed.
TEST_CASE("an entry applies directory changes that another entry read")
{
  ScriptedLog log;
  log.newest = MakePage({ { "a", "ready", 0, false } }, 1);
  dispatch::UpstreamRegistry readerRegistry;
  DirectoryFollower reader(log, MakeCodecs(), readerRegistry);
  std::vector<schema::DirectoryNews> updates;
  reader.OnUpdate(
    [&updates](const auto& aUpdate) { updates.push_back(aUpdate); });
  dispatch::UpstreamRegistry registry;
  DirectoryFollower other(log, MakeCodecs(), registry);
  REQUIRE(other.Poll());
  REQUIRE(reader.Poll());
  // A heartbeat, a new upstream and a draining one.
  log.changes = MakePage({ { "a", "ready", 1, false },
                           { "b", "ready", 2, false },
                           { "a", "draining", 3, false } },
                         4);
  REQUIRE(reader.Poll());
  REQUIRE(updates.size() == 1);
  CHECK(updates.front().records_size() == 2);
  other.ApplyUpdate(updates.front());
  REQUIRE(registry.Find("b"));
  CHECK(registry.Find("a")->record.draining);
  // A late, older update reverts nothing.
  schema::DirectoryNews lateUpdate;
  lateUpdate.set_from(1);
  lateUpdate.set_end(2);
  auto& row = *lateUpdate.add_records();
  row.set_key("a");
  row.set_value("ready");
  row.set_offset(1);
  other.ApplyUpdate(lateUpdate);
  CHECK(registry.Find("a")->record.draining);
  // An update after a gap is incomplete.
  schema::DirectoryNews updateAfterGap = lateUpdate;
  updateAfterGap.set_from(9);
  updateAfterGap.set_end(12);
  other.ApplyUpdate(updateAfterGap);
  CHECK(registry.Find("a")->record.draining);
  // Its records apply nonetheless, and the gap is still to be read.
  auto& drainingRow = *updateAfterGap.add_records();
  drainingRow.set_key("b");
  drainingRow.set_value("draining");
  drainingRow.set_offset(11);
  other.ApplyUpdate(updateAfterGap);
  CHECK(registry.Find("b")->record.draining);
  log.changes = MakePage(
    { { "c", "ready", 4, false }, { "b", "draining", 11, false } }, 12);
  REQUIRE(other.Poll());
  CHECK(registry.Find("c"));
  CHECK(registry.Find("b")->record.draining);
}

// Many upstreams drain at once: their records exceed one datagram, and a lost
// update would leave the other entries sending to draining upstreams.
TEST_CASE("mass release: an update too large for a datagram is split")
{
  constexpr int kUpstreams = 60;
  ScriptedLog log;
  dispatch::UpstreamRegistry readerRegistry;
  DirectoryFollower reader(log, MakeCodecs(), readerRegistry);
  std::vector<schema::DirectoryNews> updates;
  reader.OnUpdate(
    [&updates](const auto& aUpdate) { updates.push_back(aUpdate); });
  dispatch::UpstreamRegistry registry;
  DirectoryFollower other(log, MakeCodecs(), registry);
  std::vector<platform::KeyedRecord> leaving;
  for (std::uint64_t i = 0; i < kUpstreams; ++i) {
    auto key = std::to_string(i) + std::string(100, 'u');
    log.newest.records.push_back({ key, "ready", i, false });
    leaving.push_back({ key, "draining", kUpstreams + i, false });
  }
  log.newest.end = kUpstreams;
  REQUIRE(reader.Poll());
  REQUIRE(other.Poll());
  log.changes = MakePage(std::move(leaving), 2 * kUpstreams);
  REQUIRE(reader.Poll());
  REQUIRE(updates.size() > 1);
  for (const auto& update : updates) {
    CHECK(update.ByteSizeLong() < 8000);
    other.ApplyUpdate(update);
  }
  CHECK(std::ranges::all_of(registry.GetAll(), [](const auto& aRow) {
    return aRow.second->record.draining;
  }));
}

// Upstreams can't renew their entries while the log is unavailable to all.
// Their expiry must not remove them before they can register again.
TEST_CASE(
  "after an outage of all entries, a peer's update removes no upstream at once")
{
  Millis now(1000);
  ScriptedLog log;
  log.newest = MakePage({ { "a", "ready", 0, false } }, 1);
  dispatch::UpstreamRegistry registry;
  DirectoryFollower follower(
    log, MakeCodecs(), registry, utils::Clock([&now] { return now; }));
  REQUIRE(follower.Poll());
  log.available = false;
  now = now + Millis(4000);
  CHECK_FALSE(follower.Poll());
  // Another entry's read succeeds first; the upstream's entry has expired.
  schema::DirectoryNews update;
  update.set_from(1);
  update.set_end(2);
  auto& expiredRow = *update.add_records();
  expiredRow.set_key("a");
  expiredRow.set_offset(1);
  expiredRow.set_dropped(true);
  follower.ApplyUpdate(update);
  CHECK(registry.Find("a"));
  now = now + Millis(3000);
  log.available = true;
  log.changes = MakePage({}, 2);
  REQUIRE(follower.Poll());
  CHECK_FALSE(registry.Find("a"));
}

// A record without the text must not make an older configuration count as the
// newest.
TEST_CASE("a peer's record without text confirms only the same configuration")
{
  ScriptedLog log;
  ConfigFollower sender(log, MakeCodecs(), {});
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  REQUIRE(sender.Poll());
  ConfigFollower receiver(log, MakeCodecs(), {});
  REQUIRE(receiver.Poll());
  log.available = false;
  auto same = sender.MakeRecord(false);
  REQUIRE(same);
  CHECK(same->config().empty());
  receiver.ApplyPeerRecord(*same, receiver.Now());
  CHECK(receiver.GetAge() < Millis(5000));
  auto newer = *same;
  newer.set_offset(7);
  newer.set_end(8);
  newer.set_config_version(6);
  utils::Clock clock;
  auto before = receiver.GetAge();
  while (receiver.GetAge() == before) {
  }
  receiver.ApplyPeerRecord(newer, receiver.Now());
  // The record does not confirm the configuration, so its age keeps growing.
  CHECK(receiver.GetAge() > before);
  CHECK(receiver.GetConfig()->version == 5);
  CHECK_FALSE(receiver.IsBehind());
}

TEST_CASE(
  "a version of unknown age stays so for a starting process, not a running one")
{
  ScriptedLog log;
  log.newest =
    MakePage({ { "config", "5", 0, false }, { "m", "2", 1, false } }, 2);
  ConfigFollower sender(log, MakeCodecs(), {});
  REQUIRE(sender.Poll());
  ConfigFollower starting(log, MakeCodecs(), {});
  starting.ApplyPeerRecord(*sender.MakeRecord(), starting.Now() - Millis(10));
  REQUIRE(starting.FindVersion("m"));
  CHECK_FALSE(starting.FindVersion("m")->GetLimitStart());
  // A running process was cut off from the log: the limit counts from now.
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  ConfigFollower running(log, MakeCodecs(), {});
  REQUIRE(running.Poll());
  running.ApplyPeerRecord(*sender.MakeRecord(), running.Now() - Millis(10));
  REQUIRE(running.FindVersion("m"));
  CHECK(running.FindVersion("m")->GetLimitStart());
}

// The limit of a version must count from its naming even if this entry's own
// read of the log hangs.
TEST_CASE(
  "an entry whose read hangs receives a new version from a peer in time")
{
  TimedFollower sender;
  TimedFollower receiver;
  sender.NameVersion("2");
  REQUIRE(sender.PollFor(Millis(10)));
  CHECK_FALSE(receiver.follower.IsBehind());
  receiver.follower.ApplyPeerPosition(sender.follower.GetPosition());
  CHECK(receiver.follower.IsBehind());
  // The record is 600 ms old: the limit counts from the sender's time.
  receiver.now = receiver.now + Millis(600);
  receiver.follower.ApplyPeerRecord(*sender.follower.MakeRecord(),
                                    receiver.follower.Now() - Millis(600));
  CHECK_FALSE(receiver.follower.IsBehind());
  CHECK(receiver.follower.FindVersionOfAge("m", Millis(600)) == 2);
  CHECK(receiver.follower.FindVersionOfAge("m", Millis(2000)) == 0);
}

TEST_CASE(
  "after an outage of one entry alone, a dropped upstream is removed at once")
{
  ScriptedLog log;
  log.newest =
    MakePage({ { "a", "ready", 0, false }, { "b", "ready", 1, false } }, 2);
  dispatch::UpstreamRegistry registry;
  DirectoryFollower follower(log, MakeCodecs(), registry);
  REQUIRE(follower.Poll());
  log.available = false;
  CHECK_FALSE(follower.Poll());
  // Another entry can read the log meanwhile: it was never unavailable to all.
  schema::DirectoryNews update;
  update.set_from(2);
  update.set_end(2);
  follower.ApplyUpdate(update);
  log.available = true;
  log.changes = MakePage({ { "a", "", 2, true } }, 3);
  REQUIRE(follower.Poll());
  CHECK_FALSE(registry.Find("a"));
  // After an outage for all entries, an upstream whose entry expired may
  // register again.
  log.available = false;
  CHECK_FALSE(follower.Poll());
  log.available = true;
  log.changes = MakePage({ { "b", "", 3, true } }, 4);
  REQUIRE(follower.Poll());
  CHECK(registry.Find("b"));
}

// An entry that the log turned away can't tell an upstream that left from one
// whose entry expired. Holding it must not mean sending to it.
TEST_CASE("an upstream that leaves around an entry's outage gets no new work")
{
  ScriptedLog log;
  log.newest = MakePage({ { "a", "ready", 0, false },
                          { "b", "ready", 1, false },
                          { "c", "ready", 2, false } },
                        3);
  dispatch::UpstreamRegistry registry;
  Millis now(1000);
  DirectoryFollower follower(
    log, MakeCodecs(), registry, utils::Clock([&now] { return now; }));
  REQUIRE(follower.Poll());
  log.available = false;
  now = now + Millis(4000);
  CHECK_FALSE(follower.Poll());
  log.available = true;
  log.changes = MakePage({ { "a", "", 3, true } }, 4);
  REQUIRE(follower.Poll());
  CHECK(registry.Find("a"));
  dispatch::PlacementQuery query;
  query.service = "service";
  query.excluded = { "b", "c" };
  CHECK_FALSE(registry.FindFallbackPlacement(query, now));
  // It registers again: its entry had only expired.
  log.changes = MakePage({ { "a", "ready", 4, false } }, 5);
  REQUIRE(follower.Poll());
  CHECK(registry.FindFallbackPlacement(query, now));
}

// An entry whose first read fails for seconds still receives leaves.
TEST_CASE("updates apply before the first read of the directory")
{
  ScriptedLog log;
  log.available = false;
  dispatch::UpstreamRegistry registry;
  DirectoryFollower follower(log, MakeCodecs(), registry);
  CHECK_FALSE(follower.Poll());
  schema::DirectoryNews update;
  update.set_from(5);
  update.set_end(6);
  auto& row = *update.add_records();
  row.set_key("a");
  row.set_value("ready");
  row.set_offset(5);
  follower.ApplyUpdate(update);
  CHECK(registry.Find("a"));
}

TEST_CASE("restored log: the directory is read anew and brings nothing back")
{
  ScriptedLog log;
  log.newest = MakePage({ { "drained", "draining", 0, false },
                          { "removed", "ready", 1, false },
                          { "late", "ready", 2, false },
                          { "kept", "ready", 3, false } },
                        40);
  log.newest.epoch = 1;
  dispatch::UpstreamRegistry registry;
  Millis now(1000);
  DirectoryFollower follower(
    log, MakeCodecs(), registry, utils::Clock([&now] { return now; }));
  std::vector<schema::DirectoryNews> updates;
  follower.OnUpdate(
    [&updates](const auto& aUpdate) { updates.push_back(aUpdate); });
  REQUIRE(follower.Poll());
  log.changes = MakePage({ { "removed", "", 40, true } }, 41);
  log.changes.epoch = 1;
  REQUIRE(follower.Poll());
  REQUIRE_FALSE(registry.Find("removed"));
  auto oldUpdate = updates.back();
  // The copy's offsets have passed the old ones already, so that the read from
  // the old end succeeds. "late" registered after the copy was made.
  log.newest = MakePage({ { "drained", "ready", 0, false },
                          { "removed", "ready", 1, false },
                          { "kept", "ready", 3, false } },
                        44);
  log.newest.epoch = 2;
  log.changes = MakePage({ { "kept", "ready", 43, false } }, 44);
  log.changes.epoch = 2;
  REQUIRE(follower.Poll());
  dispatch::PlacementQuery query;
  query.service = "service";
  query.excluded = { "kept", "late" };
  CHECK_FALSE(registry.Find("removed"));
  CHECK(registry.Find("late"));
  CHECK_FALSE(registry.FindFallbackPlacement(query, now));
  // An update of the old epoch changes nothing, one of a newer epoch applies
  // whatever its offsets.
  auto& row = *oldUpdate.mutable_records(0);
  row.set_key("kept");
  row.set_offset(400);
  oldUpdate.set_end(401);
  follower.ApplyUpdate(oldUpdate);
  now = now + Millis(100);
  follower.ApplyUpdate(updates.back());
  CHECK(registry.Find("kept"));
  schema::DirectoryNews newUpdate;
  newUpdate.set_epoch(3);
  newUpdate.set_from(7);
  newUpdate.set_end(8);
  auto& newRow = *newUpdate.add_records();
  newRow.set_key("kept");
  newRow.set_value("draining");
  newRow.set_offset(7);
  follower.ApplyUpdate(newUpdate);
  CHECK(registry.Find("kept")->record.draining);
  // Upstreams that don't register again in time are removed, and one that runs
  // after all comes back with its next heartbeat.
  log.newest.epoch = 3;
  log.newest.end = 8;
  log.changes = MakePage({}, 8);
  log.changes.epoch = 3;
  REQUIRE(follower.Poll());
  now = now + Millis(6000);
  REQUIRE(follower.Poll());
  CHECK_FALSE(registry.Find("late"));
  log.changes = MakePage({ { "removed", "ready", 8, false } }, 9);
  log.changes.epoch = 3;
  REQUIRE(follower.Poll());
  CHECK(registry.Find("removed"));
}

TEST_CASE("restored log: configuration and versions don't go back")
{
  ScriptedLog log;
  log.newest =
    MakePage({ { "config", "5", 8, false }, { "m", "3", 9, false } }, 10);
  log.newest.epoch = 1;
  ConfigFollower::PollOptions options;
  options.rewriteTime = Millis(5000);
  ConfigFollower follower(log, MakeCodecs(), options);
  REQUIRE(follower.Poll());
  REQUIRE(follower.GetAge() < Millis(1000));
  auto oldRecord = *follower.MakeRecord();
  // Offsets have passed the old ones: only the epoch shows the restore.
  log.newest =
    MakePage({ { "config", "4", 3, false }, { "m", "2", 4, false } }, 20);
  log.newest.epoch = 2;
  log.changes = MakePage({}, 20);
  log.changes.epoch = 2;
  utils::Clock clock;
  auto start = clock.Now();
  while (clock.Now() - start < Millis(20)) {
  }
  REQUIRE(follower.Poll());
  CHECK(follower.GetConfig()->version == 5);
  CHECK(follower.FindVersion("m")->version == 3);
  CHECK(follower.GetPosition() == PeerPosition{ 20, 2, 5 });
  // The copy doesn't show what was written and lost since the last read.
  CHECK(follower.GetAge() >= Millis(20));
  // A peer of the old epoch has read further, which is no reason to read.
  follower.ApplyPeerPosition({ 900, 1, 5 });
  CHECK_FALSE(follower.IsBehind());
  // The operator writes again, at an offset that the old epoch had used.
  log.changes = MakePage({ { "config", "6", 20, false } }, 21);
  log.changes.epoch = 2;
  REQUIRE(follower.Poll());
  CHECK(follower.GetConfig()->version == 6);
  CHECK(follower.GetAge() < Millis(20));
  // A record made before the restore brings back neither.
  follower.ApplyPeerRecord(oldRecord, follower.Now());
  CHECK(follower.GetConfig()->version == 6);
  CHECK(follower.GetPosition() == PeerPosition{ 21, 2, 6 });
}

// It reads an older configuration than the others hold, and can't know that a
// key was revoked since.
TEST_CASE(
  "restored log: a process that starts later asks a peer that holds more")
{
  ScriptedLog log;
  log.newest = MakePage({ { "config", "4", 3, false } }, 10);
  log.newest.epoch = 2;
  ConfigFollower follower(log, MakeCodecs(), {});
  REQUIRE(follower.Poll());
  CHECK_FALSE(follower.IsBehind());
  follower.ApplyPeerPosition({ 10, 2, 5 });
  CHECK(follower.IsBehind());
  schema::OperatorRecord record;
  record.set_config("5");
  record.set_config_version(5);
  record.set_offset(8);
  record.set_end(10);
  record.set_epoch(2);
  follower.ApplyPeerRecord(record, follower.Now());
  CHECK(follower.GetConfig()->version == 5);
  CHECK_FALSE(follower.IsBehind());
}

// Fifty entries that all read the operator's topic cost more than half of the
// fleet's calls to the log.
TEST_CASE("large fleet: the entries that read the configuration don't grow")
{
  for (int entries : { 2, 10, 100 }) {
    std::vector<std::string> vms(entries);
    std::ranges::generate(
      vms, [n = 0]() mutable { return "vm" + std::to_string(n++); });
    auto readers = PickConfigReaders(vms);
    CHECK(readers.size() == 2);
    // If one falls silent, the other goes on and the next one steps in.
    std::erase(vms, readers.front());
    auto next = PickConfigReaders(vms);
    CHECK(next.front() == readers.back());
    CHECK(next.size() == std::min<std::size_t>(vms.size(), 2));
  }
  CHECK(PickConfigReaders({ "alone" }).size() == 1);
}

TEST_CASE(
  "an entry that relies on others reads the log only if they are silent")
{
  ScriptedLog log;
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  ConfigFollower::PollOptions options;
  options.peersInterval = Millis(2500);
  ConfigFollower reader(log, MakeCodecs(), options);
  REQUIRE(reader.Poll());
  CHECK(reader.IsReadDue());
  ConfigFollower other(log, MakeCodecs(), options);
  // Before it holds a configuration it reads, whatever its rank.
  other.SetReader(false);
  CHECK(other.IsReadDue());
  other.ApplyPeerRecord(*reader.MakeRecord(), other.Now());
  CHECK_FALSE(other.IsReadDue());
  other.SetReader(true);
  CHECK(other.IsReadDue());
  // A confirmation that is too old is none.
  ConfigFollower silent(log, MakeCodecs(), options);
  silent.SetReader(false);
  silent.ApplyPeerRecord(*reader.MakeRecord(), silent.Now() - Millis(2600));
  CHECK(silent.IsReadDue());
}

// A log that drops its history quickly makes the reader read the complete
// directory. If it published nothing, all entries of a large fleet would read
// it as well, hundreds of KB each, once a second.
TEST_CASE("large fleet: after a trimmed read the others need not read")
{
  Millis now(1000);
  utils::Clock clock([&now] { return now; });
  ScriptedLog log;
  log.newest =
    MakePage({ { "a", "ready", 0, false }, { "b", "ready", 1, false } }, 2);
  dispatch::UpstreamRegistry readerRegistry;
  DirectoryFollower reader(log, MakeCodecs(), readerRegistry, clock);
  std::vector<schema::DirectoryNews> updates;
  reader.OnUpdate(
    [&updates](const auto& aUpdate) { updates.push_back(aUpdate); });
  dispatch::UpstreamRegistry registry;
  DirectoryFollower other(log, MakeCodecs(), registry, clock);
  REQUIRE(reader.Poll());
  REQUIRE(other.Poll());
  log.trimmed = true;
  log.newest =
    MakePage({ { "a", "draining", 7, false }, { "c", "ready", 5, false } }, 8);
  REQUIRE(reader.Poll());
  REQUIRE(updates.size() == 1);
  CHECK(updates.front().from() == 2);
  CHECK(updates.front().end() == 8);
  other.ApplyUpdate(updates.front());
  CHECK(registry.Find("a")->record.draining);
  CHECK(registry.Find("c"));
  CHECK_FALSE(registry.Find("b"));
  // Without a gap: the next update follows the last.
  log.changes = MakePage({ { "c", "draining", 8, false } }, 9);
  REQUIRE(reader.Poll());
  other.ApplyUpdate(updates.back());
  CHECK(registry.Find("c")->record.draining);
}

// Some answers may not state the epoch, and answers of the old one may still be
// on their way when a peer reports the new one.
TEST_CASE("restored log: an unstated or outdated epoch changes nothing")
{
  ScriptedLog log;
  log.newest = MakePage({ { "config", "5", 0, false } }, 4);
  log.newest.epoch = 3;
  ConfigFollower follower(log, MakeCodecs(), {});
  REQUIRE(follower.Poll());
  log.changes = MakePage({}, 4);
  REQUIRE(follower.Poll());
  CHECK(follower.GetPosition() == PeerPosition{ 4, 3, 5 });
  log.changes.epoch = 2;
  CHECK_FALSE(follower.Poll());
  CHECK(follower.GetPosition() == PeerPosition{ 4, 3, 5 });
  dispatch::UpstreamRegistry registry;
  DirectoryFollower directory(log, MakeCodecs(), registry);
  log.newest = MakePage({ { "a", "ready", 0, false } }, 4);
  REQUIRE(directory.Poll());
  // The epoch is stated with changes only. They are read once more, then from
  // their end on.
  log.changes = MakePage({ { "a", "ready", 4, false } }, 5);
  log.changes.epoch = 3;
  REQUIRE(directory.Poll());
  log.newest = MakePage({}, 4);
  REQUIRE(directory.Poll());
  CHECK(registry.Find("a"));
}

namespace {

using Names = std::set<std::string>;

/** Followers of one log, with a clock that the test sets. */
struct EvacuationBed
{
  static constexpr Millis kRewriteTime{ 1500 };

  EvacuationBed()
  {
    log.newest = MakePage({ { "config", "5", 0, false } }, 1);
    log.newest.epoch = 1;
    REQUIRE(follower.Poll());
  }

  ConfigFollower::PollOptions MakeOptions()
  {
    ConfigFollower::PollOptions options;
    options.rewriteTime = kRewriteTime;
    options.peersInterval = Millis(2500);
    options.clock = utils::Clock([this] { return now; });
    return options;
  }

  void Read(std::vector<platform::KeyedRecord> aRecords, std::uint64_t aEnd)
  {
    log.changes = MakePage(std::move(aRecords), aEnd);
    log.changes.epoch = epoch;
    REQUIRE(follower.Poll());
  }

  /** Restores the log; the copy ends at aEnd. */
  void Restore(std::vector<platform::KeyedRecord> aRecords, std::uint64_t aEnd)
  {
    ++epoch;
    log.newest = MakePage(std::move(aRecords), aEnd);
    log.newest.epoch = epoch;
    Read({}, aEnd);
  }

  /** aTo asks aFrom for its record, which arrives at once. */
  void PassOn(const ConfigFollower& aFrom, ConfigFollower& aTo) const
  {
    aTo.ApplyPeerRecord(*aFrom.MakeRecord(), now);
  }

  Millis now{ 10000 };
  std::uint64_t epoch = 1;
  ScriptedLog log;
  ConfigFollower follower{ log, MakeCodecs(), MakeOptions() };
  /** Cut off from the log. */
  ScriptedLog noLog;
  ConfigFollower other{ noLog, MakeCodecs(), MakeOptions() };
};

} // namespace

TEST_CASE("evacuation: records of the log begin and end it")
{
  EvacuationBed bed;
  CHECK(bed.follower.GetEvacuated().empty());
  bed.Read({ { "evacuate/dc1", "{}", 1, false },
             { "evacuate/dc2", "anything", 2, false },
             { "evacuate/", "{}", 3, false } },
           4);
  CHECK(bed.follower.GetEvacuated() == Names{ "dc1", "dc2" });
  bed.Read({ { "evacuate/dc1", "", 4, true } }, 5);
  CHECK(bed.follower.GetEvacuated() == Names{ "dc2" });
  // The known state holds while the log is unavailable.
  bed.log.available = false;
  CHECK_FALSE(bed.follower.Poll());
  bed.now = bed.now + Millis(100000);
  CHECK(bed.follower.GetEvacuated() == Names{ "dc2" });
}

// Guards against an evacuation that never ends at a process that missed the
// removal, which the newest record of each key does not show.
TEST_CASE("evacuation: a complete read replaces what is known")
{
  EvacuationBed bed;
  bed.Read({ { "evacuate/dc1", "{}", 1, false } }, 2);
  bed.log.trimmed = true;
  CHECK_FALSE(bed.follower.Poll());
  bed.log.newest = MakePage(
    { { "config", "5", 0, false }, { "evacuate/dc3", "{}", 8, false } }, 9);
  bed.log.newest.epoch = 1;
  REQUIRE(bed.follower.Poll());
  CHECK(bed.follower.GetEvacuated() == Names{ "dc3" });
}

// Guards against an entry that is cut off from the log and goes on sending to
// an evacuated data centre, or never returns to it.
TEST_CASE("evacuation: a process that is cut off has it from others")
{
  EvacuationBed bed;
  bed.PassOn(bed.follower, bed.other);
  bed.noLog.available = false;
  CHECK_FALSE(bed.other.Poll());
  bed.Read({ { "evacuate/dc1", "{}", 1, false } }, 2);
  // No newer configuration: the offset alone shows that there is something.
  bed.other.ApplyPeerPosition(bed.follower.GetPosition());
  CHECK(bed.other.IsPeerAhead());
  CHECK_FALSE(bed.other.IsConfigOutdated());
  bed.PassOn(bed.follower, bed.other);
  CHECK_FALSE(bed.other.IsPeerAhead());
  CHECK(bed.other.GetEvacuated() == Names{ "dc1" });
  auto old = *bed.other.MakeRecord();
  bed.Read({ { "evacuate/dc1", "", 2, true } }, 3);
  bed.PassOn(bed.follower, bed.other);
  CHECK(bed.other.GetEvacuated().empty());
  // One that is as new as the removal, or newer, brings nothing back.
  bed.other.ApplyPeerRecord(old, bed.now);
  bed.follower.ApplyPeerRecord(old, bed.now);
  CHECK(bed.other.GetEvacuated().empty());
  CHECK(bed.follower.GetEvacuated().empty());
}

TEST_CASE("evacuation: a read of what a peer knows already changes nothing")
{
  EvacuationBed bed;
  bed.PassOn(bed.follower, bed.other);
  bed.Read({ { "evacuate/dc1", "{}", 1, false },
             { "evacuate/dc1", "", 2, true },
             { "evacuate/dc2", "{}", 3, false } },
           4);
  bed.PassOn(bed.follower, bed.other);
  CHECK(bed.other.GetEvacuated() == Names{ "dc2" });
  bed.noLog.newest = MakePage(
    { { "config", "5", 0, false }, { "evacuate/dc1", "{}", 1, false } }, 2);
  bed.noLog.newest.epoch = 1;
  REQUIRE(bed.other.Poll());
  CHECK(bed.other.GetEvacuated() == Names{ "dc2" });
  bed.noLog.changes = MakePage({ { "evacuate/dc1", "", 2, true },
                                 { "evacuate/dc2", "{}", 3, false },
                                 { "evacuate/dc4", "{}", 4, false } },
                               5);
  bed.noLog.changes.epoch = 1;
  REQUIRE(bed.other.Poll());
  CHECK(bed.other.GetEvacuated() == Names{ "dc2", "dc4" });
}

// Guards against an evacuation that ends, or that is missed, because a peer of
// an older release knows none.
TEST_CASE("evacuation: a record without the state changes nothing, and the "
          "topic is read")
{
  EvacuationBed bed;
  bed.PassOn(bed.follower, bed.other);
  bed.other.SetReader(false);
  bed.Read({ { "evacuate/dc1", "{}", 1, false } }, 2);
  bed.PassOn(bed.follower, bed.other);
  CHECK_FALSE(bed.other.IsReadDue());
  auto record = *bed.follower.MakeRecord();
  record.clear_evacuations();
  record.set_end(7);
  bed.other.ApplyPeerRecord(record, bed.now);
  CHECK(bed.other.GetEvacuated() == Names{ "dc1" });
  CHECK(bed.other.IsReadDue());
  bed.noLog.newest = MakePage({ { "config", "5", 0, false } }, 7);
  bed.noLog.newest.epoch = 1;
  REQUIRE(bed.other.Poll());
  CHECK(bed.other.GetEvacuated().empty());
  CHECK_FALSE(bed.other.IsReadDue());
}

// Guards against requests at an evacuated data centre because the log was
// restored from a copy that lacks the evacuation.
TEST_CASE("evacuation: after a restore of the log it stays until the operator "
          "has written, or could have")
{
  EvacuationBed bed;
  bed.Read(
    { { "evacuate/dc1", "{}", 1, false }, { "evacuate/dc2", "{}", 2, false } },
    3);
  bed.Restore({ { "config", "5", 0, false } }, 1);
  CHECK(bed.follower.GetEvacuated() == Names{ "dc1", "dc2" });
  SUBCASE("a record of the data centre")
  {
    bed.Read({ { "evacuate/dc1", "", 1, true } }, 2);
    CHECK(bed.follower.GetEvacuated() == Names{ "dc2" });
  }
  SUBCASE("a newer configuration")
  {
    bed.Read({ { "config", "6", 1, false } }, 2);
    CHECK(bed.follower.GetEvacuated().empty());
  }
  SUBCASE("the time has passed")
  {
    bed.now = bed.now + EvacuationBed::kRewriteTime - Millis(1);
    bed.Read({}, 1);
    CHECK(bed.follower.GetEvacuated() == Names{ "dc1", "dc2" });
    bed.now = bed.now + Millis(1);
    // Only a read shows that the operator has not written.
    CHECK(bed.follower.GetEvacuated() == Names{ "dc1", "dc2" });
    bed.Read({}, 1);
    CHECK(bed.follower.GetEvacuated().empty());
  }
  SUBCASE("evacuated again")
  {
    bed.Read({ { "evacuate/dc2", "{}", 1, false } }, 2);
    bed.now = bed.now + EvacuationBed::kRewriteTime;
    bed.Read({}, 2);
    CHECK(bed.follower.GetEvacuated() == Names{ "dc2" });
  }
}

TEST_CASE("evacuation: what is kept after a restore reaches a process that "
          "starts, and ends there")
{
  EvacuationBed bed;
  bed.Read({ { "evacuate/dc1", "{}", 1, false } }, 2);
  bed.Restore({ { "config", "5", 0, false } }, 1);
  bed.PassOn(bed.follower, bed.other);
  CHECK(bed.other.GetEvacuated() == Names{ "dc1" });
  bed.now = bed.now + EvacuationBed::kRewriteTime;
  bed.Read({}, 1);
  CHECK(bed.follower.GetEvacuated().empty());
  // What the other one still holds is older than that read.
  bed.PassOn(bed.other, bed.follower);
  CHECK(bed.follower.GetEvacuated().empty());
  CHECK(bed.other.GetEvacuated() == Names{ "dc1" });
  bed.PassOn(bed.follower, bed.other);
  CHECK(bed.other.GetEvacuated().empty());
}

// Guards against a state of the old epoch, whose offsets are larger.
TEST_CASE("evacuation: a record from before a restore changes nothing")
{
  EvacuationBed bed;
  bed.Read({ { "evacuate/dc1", "{}", 30, false } }, 31);
  auto old = *bed.follower.MakeRecord();
  bed.Restore({ { "config", "6", 0, false } }, 1);
  CHECK(bed.follower.GetEvacuated().empty());
  bed.follower.ApplyPeerRecord(old, bed.now);
  CHECK(bed.follower.GetEvacuated().empty());
  // A peer tells of the next epoch.
  bed.Read({ { "evacuate/dc2", "{}", 1, false } }, 2);
  bed.other.ApplyPeerRecord(old, bed.now);
  bed.PassOn(bed.follower, bed.other);
  CHECK(bed.other.GetEvacuated() == Names{ "dc1", "dc2" });
}

// Guards against an entry that applies the end of what was kept only with the
// next record.
TEST_CASE("evacuation: the end of what was kept is announced without a record")
{
  EvacuationBed bed;
  // Never run: the test reads itself.
  net::Runtime runtime(1);
  std::vector<Names> announced;
  bed.follower.Start(runtime,
                     [&] { announced.push_back(bed.follower.GetEvacuated()); });
  bed.Read({ { "evacuate/dc1", "{}", 1, false } }, 2);
  bed.Restore({ { "config", "5", 0, false } }, 1);
  CHECK(announced.back() == Names{ "dc1" });
  bed.now = bed.now + EvacuationBed::kRewriteTime;
  auto count = announced.size();
  bed.Read({}, 1);
  CHECK(announced.size() == count + 1);
  CHECK(announced.back().empty());
}
