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

/** Digests of the state after each prefix, folded from offset 0. */
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
        std::size_t aPageRecords)
{
  do {
    aReplay.Add(
      MakePage(aHistory, aFirst, aReplay.GetReadOffset(), aPageRecords));
  } while (aReplay.GetReadOffset() < aHistory.size());
}

} // namespace

TEST_CASE("a reader reaches the full state for any trim offset and page size")
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
    // If the trimmed log has no usable snapshot, the replay has no state rather
    // than a wrong one. More than half of the trim offsets must give a state.
    CHECK(started > kRecords / 2);
  }
}

TEST_CASE("a reader whose offset was trimmed continues from a snapshot")
{
  for (auto seed : kSeeds) {
    CAPTURE(seed);
    auto history = MakeHistory(seed, kRecords);
    auto digests = FoldPrefixes(history);
    for (std::uint64_t readCount = 1; readCount < kRecords; readCount += 7) {
      Replay replay;
      replay.Add(MakePage(history, 0, 0, readCount));
      CHECK(Fold::GetDigest(replay.GetFold().GetState()) == digests[readCount]);
      auto first = std::min<std::uint64_t>(readCount + 20, kRecords / 2);
      ReadAll(replay, history, std::max<std::uint64_t>(first, readCount), 10);
      CHECK(Fold::GetDigest(replay.GetFold().GetState()) ==
            digests[replay.GetFold().GetNextOffset()]);
    }
  }
}

TEST_CASE("a state received from another node continues to the full state")
{
  for (auto seed : kSeeds) {
    CAPTURE(seed);
    auto history = MakeHistory(seed, kRecords);
    auto digests = FoldPrefixes(history);
    Replay full;
    for (std::uint64_t offset = 0; offset < kRecords; ++offset) {
      full.Add(MakePage(history, 0, offset, 1));
      Replay receiver;
      CHECK(receiver.ApplyState(offset + 1, full.GetFold().GetState()));
      CHECK_FALSE(receiver.ApplyState(offset, schema::ConfigState()));
      receiver.AddRecords(
        { history.begin() + static_cast<long>(offset) + 1, history.end() });
      CHECK(Fold::GetDigest(receiver.GetFold().GetState()) == digests.back());
    }
  }
}

TEST_CASE("an accepted revision is only replaced by a higher one")
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

TEST_CASE("a snapshot that differs from the fold at its offset is counted")
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
