#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include <EntryRotation.h>

using namespace waxwingyoke::fleet;
using waxwingyoke::utils::Millis;

namespace {

std::vector<Peer>
MakeEntries()
{
  std::vector<Peer> entries;
  for (std::string vm : { "local-1", "local-2", "remote-1", "remote-2" }) {
    Peer entry;
    entry.vm = vm;
    entry.region = vm.substr(0, vm.find('-'));
    entry.receivedAt = Millis(1);
    entries.push_back(entry);
  }
  return entries;
}

EntryRotation
MakeRotation()
{
  return EntryRotation(
    [](const Peer& aPeer) { return aPeer.receivedAt > Millis(0); },
    [](const Peer& aPeer) { return aPeer.region == "local"; });
}

} // namespace

TEST_CASE("entries of the own region are asked in rotation while they answer")
{
  auto rotation = MakeRotation();
  std::set<std::string> asked;
  for (int i = 0; i < 12; ++i) {
    asked.insert(rotation.PickLocal(MakeEntries())->vm);
    rotation.RecordResult(true);
  }
  CHECK(asked == std::set<std::string>{ "local-1", "local-2" });
}

// Guards against sides that ask their region's suspended entries again and
// again, and learn of a version when these resume.
TEST_CASE("entries of another region are asked if those of the own region do "
          "not answer")
{
  auto rotation = MakeRotation();
  std::set<std::string> asked;
  for (int i = 0; i < 4; ++i) {
    asked.insert(rotation.PickLocal(MakeEntries())->vm);
    rotation.RecordResult(false);
  }
  CHECK(asked.contains("remote-1"));
  CHECK(asked.contains("remote-2"));
  rotation.RecordResult(true);
  CHECK(rotation.PickLocal(MakeEntries())->region == "local");
}

TEST_CASE("preferred entries are asked most of the time, not always")
{
  auto rotation = MakeRotation();
  rotation.SetPreferred({ "local-2" });
  int preferred = 0;
  constexpr int kPicks = 40;
  for (int i = 0; i < kPicks; ++i) {
    preferred += rotation.PickLocal(MakeEntries())->vm == "local-2" ? 1 : 0;
  }
  CHECK(preferred >= kPicks * 3 / 4);
  CHECK(preferred < kPicks);
}

TEST_CASE("entries without a recent notice are asked only if there are no "
          "others")
{
  auto rotation = MakeRotation();
  auto entries = MakeEntries();
  entries[0].receivedAt = Millis(0);
  CHECK(rotation.PickLocal(entries)->vm == "local-2");
  CHECK(rotation.PickLocal(entries)->vm == "local-2");
  for (auto& entry : entries) {
    entry.receivedAt = Millis(0);
  }
  CHECK(rotation.PickLocal(entries)->region == "local");
}

TEST_CASE("without entries nobody is asked")
{
  auto rotation = MakeRotation();
  CHECK_FALSE(rotation.PickLocal({}));
  CHECK_FALSE(rotation.PickAny({}));
}
