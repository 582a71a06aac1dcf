#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include <profiles/Replay.h>

#include "History.h"

using namespace waxwingyoke;
using namespace waxwingyoke::profiles;
using namespace waxwingyoke::profiles::tests;

namespace {

constexpr std::size_t kRecords = 120;
constexpr std::uint64_t kSeeds[] = { 1, 2, 3, 4, 5, 6, 7, 8 };

using Digests = std::vector<utils::Digest>;

/** The state's digest after each prefix, by a reader from offset 0. */
Digests
FoldPrefixes(const std::vector<schema::StoredRecord>& aHistory)
{
  Fold fold;
  Digests digests{ Fold::GetDigest(fold.GetState()) };
  std::ranges::for_each(aHistory, [&](const auto& aRecord) {
    fold.Apply(aRecord.offset(), aRecord.payload());
    digests.push_back(Fold::GetDigest(fold.GetState()));
  });
  return digests;
}

void
ReadAll(Replay& aReplay,
        const std::vector<schema::StoredRecord>& aHistory,
        std::uint64_t aFirst,
        std::size_t aPage)
{
  do {
    aReplay.Add(MakePage(aHistory, aFirst, aReplay.GetReadOffset(), aPage));
  } while (aReplay.GetReadOffset() < aHistory.size());
}

} // namespace

TEST_CASE("every trim point and page size gives the state of a full reader")
{
  for (auto seed : kSeeds) {
    CAPTURE(seed);
    auto history = MakeHistory(seed, kRecords);
    auto digests = FoldPrefixes(history);
    std::size_t started = 0;
    for (std::uint64_t first = 0; first <= kRecords; ++first) {
      CAPTURE(first);
      Replay replay;
      ReadAll(replay, history, first, 1 + first % 17);
      if (!replay.IsStarted()) {
        continue;
      }
      ++started;
      CHECK(replay.GetFold().GetNextOffset() == kRecords);
      CHECK(Fold::GetDigest(replay.GetFold().GetState()) == digests.back());
      CHECK(replay.GetMismatches() == 0);
    }
    // Where no usable snapshot is kept there is no state, not a wrong one.
    CHECK(started > kRecords / 2);
  }
}

TEST_CASE("a reader that the log was trimmed past takes up a snapshot")
{
  for (auto seed : kSeeds) {
    CAPTURE(seed);
    auto history = MakeHistory(seed, kRecords);
    auto digests = FoldPrefixes(history);
    for (std::uint64_t stop = 1; stop < kRecords; stop += 7) {
      Replay replay;
      replay.Add(MakePage(history, 0, 0, stop));
      CHECK(Fold::GetDigest(replay.GetFold().GetState()) == digests[stop]);
      auto first = std::min<std::uint64_t>(stop + 20, kRecords / 2);
      ReadAll(replay, history, std::max<std::uint64_t>(first, stop), 10);
      CHECK(Fold::GetDigest(replay.GetFold().GetState()) ==
            digests[replay.GetFold().GetNextOffset()]);
    }
  }
}

TEST_CASE("a state taken over from a neighbour goes on like a full reader's")
{
  for (auto seed : kSeeds) {
    CAPTURE(seed);
    auto history = MakeHistory(seed, kRecords);
    auto digests = FoldPrefixes(history);
    Replay full;
    for (std::uint64_t offset = 0; offset < kRecords; ++offset) {
      full.Add(MakePage(history, 0, offset, 1));
      Replay taker;
      CHECK(taker.TakeState(offset + 1, full.GetFold().GetState()));
      CHECK_FALSE(taker.TakeState(offset, schema::ConfigState()));
      taker.AddRecords(
        { history.begin() + static_cast<long>(offset) + 1, history.end() });
      CHECK(Fold::GetDigest(taker.GetFold().GetState()) == digests.back());
    }
  }
}

TEST_CASE("an accepted revision is only ever replaced by a higher one")
{
  for (auto seed : kSeeds) {
    CAPTURE(seed);
    std::map<std::string, std::uint64_t> seen;
    Replay replay;
    for (const auto& record : MakeHistory(seed, kRecords)) {
      replay.Add(MakePage({ record }, 0, 0, 1));
      replay.AddRecords({ record });
      auto config = replay.GetFold().GetConfig();
      for (auto& [name, revision] : seen) {
        CHECK(config->GetRevision(name) >= revision);
      }
      std::ranges::for_each(config->profiles, [&](const auto& aEntry) {
        seen[aEntry.first] = aEntry.second.revision();
      });
    }
    CHECK(seen.size() > 1);
  }
}

TEST_CASE("a full reader counts a snapshot that is not its own state")
{
  Replay replay;
  schema::LogRecord record;
  Fold other;
  other.Apply(0, MakeChange("a", schema::PUBLISH, 0, MakeProfile("p", "g")));
  *record.mutable_snapshot() = other.MakeSnapshot();
  schema::LogPage page;
  page.set_next_offset(2);
  page.add_records()->set_payload("\xff");
  page.add_records()->set_offset(1);
  page.mutable_records(1)->set_payload(record.SerializeAsString());
  replay.Add(page);
  CHECK(replay.GetMismatches() == 1);
  CHECK(replay.GetFold().GetConfig()->profiles.empty());
}
