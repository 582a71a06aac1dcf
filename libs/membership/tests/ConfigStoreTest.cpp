#include <doctest/doctest.h>

#include <ConfigStore.h>
#include <SnapshotSchedule.h>

using namespace waxwingyoke;
using namespace waxwingyoke::membership;
using utils::Millis;

namespace {

schema::StoredRecord
MakeRecord(std::uint64_t aOffset)
{
  schema::LogRecord record;
  record.set_id("id-" + std::to_string(aOffset));
  auto& profile = *record.mutable_profile_change()->mutable_profile();
  profile.set_name("p" + std::to_string(aOffset));
  profile.set_kind(schema::SERVICE);
  profile.mutable_vms()->set_group("g" + std::to_string(aOffset));
  schema::StoredRecord stored;
  stored.set_offset(aOffset);
  stored.set_payload(record.SerializeAsString());
  return stored;
}

schema::LogPage
MakePage(std::uint64_t aFrom, std::uint64_t aEnd)
{
  schema::LogPage page;
  page.set_next_offset(aEnd);
  for (auto offset = aFrom; offset < aEnd; ++offset) {
    *page.add_records() = MakeRecord(offset);
  }
  return page;
}

void
SyncFrom(ConfigStore& aChild, const ConfigStore& aParent, Millis aNow)
{
  schema::SyncReply reply;
  aParent.FillReply(aChild.GetNextOffset(), aNow, reply);
  aChild.ApplyReply(reply, aNow);
}

std::string
GetState(const ConfigStore& aStore)
{
  return aStore.GetReplay().GetFold().GetState().SerializeAsString();
}

} // namespace

TEST_CASE("a node catches up from its parent by records or by a snapshot")
{
  ConfigStore parent;
  parent.ApplyPage(MakePage(0, 10), Millis(0));
  ConfigStore child;
  SyncFrom(child, parent, Millis(0));
  CHECK(child.GetNextOffset() == 10);

  parent.ApplyPage(MakePage(10, 12), Millis(100));
  schema::SyncReply late;
  parent.FillReply(child.GetNextOffset(), Millis(100), late);
  CHECK(late.records_size() == 2);
  CHECK_FALSE(late.has_snapshot());
  parent.ApplyPage(MakePage(12, 2000), Millis(200));
  SyncFrom(child, parent, Millis(200));
  while (child.GetNextOffset() < parent.GetNextOffset()) {
    SyncFrom(child, parent, Millis(200));
  }
  CHECK(GetState(child) == GetState(parent));
  // A delayed reply changes nothing.
  child.ApplyReply(late, Millis(300));
  CHECK(child.GetNextOffset() == 2000);
  CHECK(GetState(child) == GetState(parent));

  ConfigStore fresh;
  schema::SyncReply reply;
  parent.FillReply(0, Millis(300), reply);
  CHECK(reply.has_snapshot());
  fresh.ApplyReply(reply, Millis(300));
  CHECK(GetState(fresh) == GetState(parent));
}

TEST_CASE("a reply of a stale neighbour never reverts a node's state")
{
  ConfigStore stale;
  stale.ApplyPage(MakePage(0, 3), Millis(0));
  ConfigStore node;
  node.ApplyPage(MakePage(0, 8), Millis(0));
  auto before = GetState(node);
  schema::SyncReply reply;
  stale.FillReply(0, Millis(0), reply);
  node.ApplyReply(reply, Millis(0));
  CHECK(node.GetNextOffset() == 8);
  CHECK(GetState(node) == before);
}

TEST_CASE("the age is the time since the state last matched the log's end")
{
  ConfigStore parent;
  CHECK_FALSE(parent.GetAge(Millis(0)));
  parent.ApplyPage(MakePage(0, 5), Millis(1000));
  ConfigStore child;
  SyncFrom(child, parent, Millis(3000));
  CHECK(child.GetAge(Millis(3500)) == Millis(2500));
  // A page that ends before the log's end does not reset the age.
  auto page = MakePage(5, 7);
  page.set_next_offset(9);
  parent.ApplyPage(page, Millis(5000));
  CHECK(parent.GetAge(Millis(5000)) == Millis(4000));
}

TEST_CASE("a new node without a snapshot has no state, not an empty one")
{
  ConfigStore node;
  auto page = MakePage(5, 8);
  page.set_first_offset(5);
  node.ApplyPage(page, Millis(0));
  CHECK_FALSE(node.IsStarted());
  CHECK(node.GetNextOffset() == 0);
  ConfigStore neighbour;
  neighbour.ApplyPage(MakePage(0, 8), Millis(0));
  SyncFrom(node, neighbour, Millis(0));
  CHECK(GetState(node) == GetState(neighbour));
}

TEST_CASE("the first rank writes a due snapshot, the next only if none appears")
{
  constexpr Millis kInterval(1000);
  SnapshotSchedule first(kInterval);
  SnapshotSchedule second(kInterval);
  SnapshotStatus snapshotStatus{ 10, 0, 0 };
  SnapshotStatus behind{ 10, 0, 1 };
  CHECK_FALSE(first.IsDue(snapshotStatus, Millis(0)));
  CHECK_FALSE(second.IsDue(behind, Millis(0)));
  CHECK(first.IsDue(snapshotStatus, Millis(1000)));
  CHECK_FALSE(second.IsDue(behind, Millis(1000)));
  SUBCASE("the snapshot appears")
  {
    behind = { 11, 10, 1 };
    CHECK_FALSE(second.IsDue(behind, Millis(1500)));
    CHECK_FALSE(second.IsDue(behind, Millis(2400)));
  }
  SUBCASE("its writer crashed")
  {
    CHECK_FALSE(second.IsDue(behind, Millis(3900)));
    CHECK(second.IsDue(behind, Millis(4000)));
    CHECK_FALSE(second.IsDue(behind, Millis(4100)));
  }
  SUBCASE("many records make one due before the interval has passed")
  {
    snapshotStatus = { 200, 0, 0 };
    SnapshotSchedule fresh(kInterval);
    CHECK(fresh.IsDue(snapshotStatus, Millis(0)));
  }
  SUBCASE("trimmed records make one due before the last snapshot is reached")
  {
    SnapshotSchedule trimmed(kInterval);
    CHECK_FALSE(trimmed.IsDue({ 50, 40, 0, 0 }, Millis(0)));
    CHECK_FALSE(trimmed.IsDue({ 50, 40, 0, 30 }, Millis(10)));
    CHECK(trimmed.IsDue({ 60, 40, 0, 40 }, Millis(20)));
    CHECK(trimmed.IsDue({ 60, 40, 0, 58 }, Millis(30)));
    CHECK_FALSE(trimmed.IsDue({ 61, 60, 0, 59 }, Millis(40)));
  }
  SUBCASE("an empty log makes none due")
  {
    SnapshotSchedule empty(kInterval);
    SnapshotStatus nothing;
    CHECK_FALSE(empty.IsDue(nothing, Millis(0)));
    CHECK_FALSE(empty.IsDue(nothing, Millis(5000)));
  }
}
