#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <ConfigFollower.h>
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
    if (!answers) {
      aReason.Set(utils::ErrorKind::LogUnavailable, "away");
      return std::nullopt;
    }
    return newest;
  }

  std::optional<KeyedPage> Read(Topic,
                                std::uint64_t,
                                Millis,
                                utils::Error& aReason) override
  {
    if (trimmed) {
      trimmed = false;
      aReason.Set(utils::ErrorKind::LogTrimmed, "trimmed");
      return std::nullopt;
    }
    if (!answers) {
      aReason.Set(utils::ErrorKind::LogUnavailable, "away");
      return std::nullopt;
    }
    return news;
  }

  bool Append(Topic,
              const std::string&,
              const std::string&,
              utils::Error&) override
  {
    return answers;
  }

  bool answers = true;
  bool trimmed = false;
  KeyedPage newest;
  KeyedPage news;
};

// Configurations are "VERSION", named versions "vNUMBER", upstreams their
// state.
platform::FleetCodecs
MakeCodecs()
{
  platform::FleetCodecs codecs;
  codecs.parseOperatorKey = [](std::string_view aKey) {
    platform::OperatorKey key;
    key.isConfig = aKey == "config";
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

TEST_CASE("a configuration never goes back, and a broken one changes nothing")
{
  ScriptedLog log;
  ConfigFollower follower(log, MakeCodecs(), {});
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  CHECK(follower.Poll());
  REQUIRE(follower.GetConfig());
  CHECK(follower.GetConfig()->version == 5);
  log.news = MakePage({ { "config", "3", 1, false } }, 2);
  follower.Poll();
  CHECK(follower.GetConfig()->version == 5);
  log.news = MakePage({ { "config", "broken", 2, false } }, 3);
  follower.Poll();
  CHECK(follower.GetConfig()->version == 5);
  log.news = MakePage({ { "config", "9", 3, false } }, 4);
  follower.Poll();
  CHECK(follower.GetConfig()->version == 9);
}

TEST_CASE("without a log nothing is known, and the age says so")
{
  ScriptedLog log;
  log.answers = false;
  ConfigFollower follower(log, MakeCodecs(), {});
  CHECK_FALSE(follower.Poll());
  CHECK_FALSE(follower.GetConfig());
  CHECK(follower.GetAge() > Millis(1000000));
}

TEST_CASE("another entry's record counts with its age")
{
  ScriptedLog log;
  log.answers = false;
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
  follower.NoteEnd(6);
  CHECK(follower.IsBehind());
  follower.Take(makeRecord(1400), Millis(100));
  CHECK_FALSE(follower.IsBehind());
  REQUIRE(follower.GetConfig());
  CHECK(follower.GetConfig()->version == 7);
  CHECK(follower.GetAge() >= Millis(1500));
  CHECK(follower.GetAge() < Millis(60000));
  // An older proof does not make it older.
  follower.Take(makeRecord(90000), Millis(0));
  CHECK(follower.GetAge() < Millis(60000));
  // A named version counts from when the giver learnt of it.
  CHECK(follower.FindVersion("model")->version == 2);
  CHECK(follower.FindVersionOfAge("model", Millis(3000)) == 2);
  CHECK(follower.FindVersionOfAge("model", Millis(60000)) == 0);
}

TEST_CASE("versions that are there when the log returns count from then")
{
  ScriptedLog log;
  log.answers = false;
  ConfigFollower follower(log, MakeCodecs(), {});
  follower.Poll();
  log.answers = true;
  log.newest = MakePage({ { "model", "3", 0, false } }, 1);
  follower.Poll();
  CHECK(follower.FindVersion("model")->learntLive);
  CHECK(follower.FindVersionOfAge("model", Millis(5000)) == 0);
}

TEST_CASE("a version of unknown age counts from when another told of it")
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
  follower.Take(record, Millis(0));
  CHECK(follower.FindVersion("model")->version == 2);
  // It may not be the only one at once: others have just begun to load it.
  CHECK(follower.FindVersionOfAge("model", Millis(5000)) == 0);
}

TEST_CASE("each named version keeps its own time")
{
  ScriptedLog log;
  ConfigFollower follower(log, MakeCodecs(), {});
  log.newest = MakePage({ { "model", "1", 0, false } }, 1);
  follower.Poll();
  CHECK_FALSE(follower.FindVersion("model")->learntLive);
  log.news =
    MakePage({ { "model", "2", 1, false }, { "model", "3", 2, false } }, 3);
  follower.Poll();
  CHECK(follower.FindVersion("model")->version == 3);
  CHECK(follower.FindVersion("model")->learntLive);
  CHECK(follower.FindNextVersion("model", 1)->version == 2);
  CHECK_FALSE(follower.FindNextVersion("model", 3));
  // Version 1 stood there at the start; the others are young.
  CHECK(follower.FindVersionOfAge("model", Millis(5000)) == 1);
  CHECK(follower.FindVersionOfAge("model", Millis(0)) == 3);
}

TEST_CASE("a trimmed topic is read anew")
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

TEST_CASE("the directory: draining, dropped and unreadable entries")
{
  ScriptedLog log;
  dispatch::UpstreamBook book;
  DirectoryFollower directory(log, MakeCodecs(), book);
  log.newest = MakePage({ { "a", "ready", 0, false },
                          { "b", "ready", 1, false },
                          { "c", "broken", 2, false } },
                        3);
  directory.Poll();
  CHECK(book.Find("a"));
  CHECK(book.Find("b"));
  CHECK_FALSE(book.Find("c"));
  log.news =
    MakePage({ { "a", "draining", 3, false }, { "b", "", 4, true } }, 5);
  directory.Poll();
  CHECK(book.Find("a")->record.draining);
  CHECK_FALSE(book.Find("b"));
}

TEST_CASE("entries that lapsed while the log was away stay for a while")
{
  ScriptedLog log;
  dispatch::UpstreamBook book;
  DirectoryFollower directory(log, MakeCodecs(), book);
  log.newest = MakePage({ { "a", "ready", 0, false } }, 1);
  directory.Poll();
  log.answers = false;
  directory.Poll();
  log.answers = true;
  log.news = MakePage({ { "a", "", 1, true } }, 2);
  directory.Poll();
  CHECK(book.Find("a"));
  log.news = MakePage({ { "a", "ready", 2, false } }, 3);
  directory.Poll();
  CHECK(book.Find("a"));
}

TEST_CASE("what one entry read of the directory another need not read")
{
  ScriptedLog log;
  log.newest = MakePage({ { "a", "ready", 0, false } }, 1);
  dispatch::UpstreamBook readersBook;
  DirectoryFollower reader(log, MakeCodecs(), readersBook);
  std::vector<schema::DirectoryNews> told;
  reader.OnNews([&told](const auto& aNews) { told.push_back(aNews); });
  dispatch::UpstreamBook book;
  DirectoryFollower other(log, MakeCodecs(), book);
  REQUIRE(other.Poll());
  REQUIRE(reader.Poll());
  // A heartbeat, a new upstream, one that leaves.
  log.news = MakePage({ { "a", "ready", 1, false },
                        { "b", "ready", 2, false },
                        { "a", "draining", 3, false } },
                      4);
  REQUIRE(reader.Poll());
  REQUIRE(told.size() == 1);
  CHECK(told.front().records_size() == 2);
  other.TakeNews(told.front());
  REQUIRE(book.Find("b"));
  CHECK(book.Find("a")->record.draining);
  // An older notice that comes late changes nothing back.
  schema::DirectoryNews late;
  late.set_from(1);
  late.set_end(2);
  auto& row = *late.add_records();
  row.set_key("a");
  row.set_value("ready");
  row.set_offset(1);
  other.TakeNews(late);
  CHECK(book.Find("a")->record.draining);
  // One with a gap before it is not all that is new.
  schema::DirectoryNews ahead = late;
  ahead.set_from(9);
  ahead.set_end(12);
  other.TakeNews(ahead);
  CHECK(book.Find("a")->record.draining);
  // What it says is true all the same, and the gap is still to be read.
  auto& leaver = *ahead.add_records();
  leaver.set_key("b");
  leaver.set_value("draining");
  leaver.set_offset(11);
  other.TakeNews(ahead);
  CHECK(book.Find("b")->record.draining);
  log.news = MakePage(
    { { "c", "ready", 4, false }, { "b", "draining", 11, false } }, 12);
  REQUIRE(other.Poll());
  CHECK(book.Find("c"));
  CHECK(book.Find("b")->record.draining);
}

TEST_CASE("mass release: news that no datagram holds come in several")
{
  constexpr int kUpstreams = 60;
  ScriptedLog log;
  dispatch::UpstreamBook readersBook;
  DirectoryFollower reader(log, MakeCodecs(), readersBook);
  std::vector<schema::DirectoryNews> told;
  reader.OnNews([&told](const auto& aNews) { told.push_back(aNews); });
  dispatch::UpstreamBook book;
  DirectoryFollower other(log, MakeCodecs(), book);
  std::vector<platform::KeyedRecord> leaving;
  for (std::uint64_t i = 0; i < kUpstreams; ++i) {
    auto key = std::to_string(i) + std::string(100, 'u');
    log.newest.records.push_back({ key, "ready", i, false });
    leaving.push_back({ key, "draining", kUpstreams + i, false });
  }
  log.newest.end = kUpstreams;
  REQUIRE(reader.Poll());
  REQUIRE(other.Poll());
  log.news = MakePage(std::move(leaving), 2 * kUpstreams);
  REQUIRE(reader.Poll());
  REQUIRE(told.size() > 1);
  for (const auto& news : told) {
    CHECK(news.ByteSizeLong() < 8000);
    other.TakeNews(news);
  }
  CHECK(std::ranges::all_of(book.GetAll(), [](const auto& aRow) {
    return aRow.second->record.draining;
  }));
}

TEST_CASE("after an outage for all, others' news do not end upstreams at once")
{
  Millis now(1000);
  ScriptedLog log;
  log.newest = MakePage({ { "a", "ready", 0, false } }, 1);
  dispatch::UpstreamBook book;
  DirectoryFollower follower(
    log, MakeCodecs(), book, utils::Clock([&now] { return now; }));
  REQUIRE(follower.Poll());
  log.answers = false;
  now = now + Millis(4000);
  CHECK_FALSE(follower.Poll());
  // Another entry's read succeeds first; the upstream's entry has lapsed.
  schema::DirectoryNews news;
  news.set_from(1);
  news.set_end(2);
  auto& lapsed = *news.add_records();
  lapsed.set_key("a");
  lapsed.set_offset(1);
  lapsed.set_dropped(true);
  follower.TakeNews(news);
  CHECK(book.Find("a"));
  now = now + Millis(3000);
  log.answers = true;
  log.news = MakePage({}, 2);
  REQUIRE(follower.Poll());
  CHECK_FALSE(book.Find("a"));
}

TEST_CASE(
  "without its text another's record proves only the same configuration")
{
  ScriptedLog log;
  ConfigFollower giver(log, MakeCodecs(), {});
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  REQUIRE(giver.Poll());
  ConfigFollower taker(log, MakeCodecs(), {});
  REQUIRE(taker.Poll());
  log.answers = false;
  auto same = giver.MakeRecord(false);
  REQUIRE(same);
  CHECK(same->config().empty());
  taker.Take(*same, Millis(0));
  CHECK(taker.GetAge() < Millis(5000));
  auto newer = *same;
  newer.set_offset(7);
  newer.set_end(8);
  utils::Clock clock;
  auto before = taker.GetAge();
  while (taker.GetAge() == before) {
  }
  taker.Take(newer, Millis(0));
  // Not proved by it: its age goes on.
  CHECK(taker.GetAge() > before);
  CHECK(taker.GetConfig()->version == 5);
  CHECK_FALSE(taker.IsBehind());
}

TEST_CASE("what stood there at another's start is old for one that starts, too")
{
  ScriptedLog log;
  log.newest =
    MakePage({ { "config", "5", 0, false }, { "m", "2", 1, false } }, 2);
  ConfigFollower giver(log, MakeCodecs(), {});
  REQUIRE(giver.Poll());
  ConfigFollower starter(log, MakeCodecs(), {});
  starter.Take(*giver.MakeRecord(), Millis(10));
  REQUIRE(starter.FindVersion("m"));
  CHECK_FALSE(starter.FindVersion("m")->learntLive);
  // One that runs was cut off meanwhile: the limit counts from now.
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  ConfigFollower runner(log, MakeCodecs(), {});
  REQUIRE(runner.Poll());
  runner.Take(*giver.MakeRecord(), Millis(10));
  REQUIRE(runner.FindVersion("m"));
  CHECK(runner.FindVersion("m")->learntLive);
}

TEST_CASE("an entry whose read hangs learns of a version from another in time")
{
  ScriptedLog log;
  log.newest = MakePage({ { "config", "5", 0, false } }, 1);
  ConfigFollower giver(log, MakeCodecs(), {});
  ConfigFollower taker(log, MakeCodecs(), {});
  REQUIRE(giver.Poll());
  REQUIRE(taker.Poll());
  log.news = MakePage({ { "m", "2", 1, false } }, 2);
  REQUIRE(giver.Poll());
  CHECK_FALSE(taker.IsBehind());
  taker.NoteEnd(giver.GetEnd());
  CHECK(taker.IsBehind());
  // Told 600 ms after it was made: the limit counts from the giver's time.
  taker.Take(*giver.MakeRecord(), Millis(600));
  CHECK_FALSE(taker.IsBehind());
  CHECK(taker.FindVersionOfAge("m", Millis(600)) == 2);
  CHECK(taker.FindVersionOfAge("m", Millis(2000)) == 0);
}

TEST_CASE("what leaves after an outage of this entry alone is gone at once")
{
  ScriptedLog log;
  log.newest =
    MakePage({ { "a", "ready", 0, false }, { "b", "ready", 1, false } }, 2);
  dispatch::UpstreamBook book;
  DirectoryFollower follower(log, MakeCodecs(), book);
  REQUIRE(follower.Poll());
  log.answers = false;
  CHECK_FALSE(follower.Poll());
  // Another entry reads the log meanwhile: it was never away.
  schema::DirectoryNews news;
  news.set_from(2);
  news.set_end(2);
  follower.TakeNews(news);
  log.answers = true;
  log.news = MakePage({ { "a", "", 2, true } }, 3);
  REQUIRE(follower.Poll());
  CHECK_FALSE(book.Find("a"));
  // After an outage for all, an entry that lapsed may come back.
  log.answers = false;
  CHECK_FALSE(follower.Poll());
  log.answers = true;
  log.news = MakePage({ { "b", "", 3, true } }, 4);
  REQUIRE(follower.Poll());
  CHECK(book.Find("b"));
}
