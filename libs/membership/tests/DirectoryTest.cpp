#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include <Directory.h>
#include <Tree.h>

using namespace waxwingyoke;
using namespace waxwingyoke::membership;

namespace {

constexpr std::size_t kAll = 100000;

schema::Vm
MakeVm(const std::string& aId, const std::string& aDataCentre = "osl-sone1")
{
  schema::Vm vm;
  vm.set_id(aId);
  vm.set_address("127.0.0.1");
  vm.set_data_centre(aDataCentre);
  return vm;
}

schema::DirectoryRow
MakeRow(const std::string& aId,
        std::uint64_t aListVersion,
        std::uint64_t aSequence)
{
  schema::DirectoryRow row;
  *row.mutable_vm() = MakeVm(aId);
  row.set_list_version(aListVersion);
  row.mutable_status()->set_vm(aId);
  row.mutable_status()->set_sequence(aSequence);
  return row;
}

std::string
Show(const Directory& aDirectory)
{
  std::string text;
  for (const auto& [id, member] : aDirectory.GetMembers()) {
    text += member.vm.SerializeAsString();
    text += member.status ? member.status->SerializeAsString() : "-";
  }
  return text;
}

/** Nodes that exchange rows with their parents as the node's fibers do, without
 * sockets. */
class TreeSimulation
{
public:
  explicit TreeSimulation(std::size_t aCount)
  {
    schema::VmList list;
    for (std::size_t i = 0; i < aCount; ++i) {
      *list.add_vms() =
        MakeVm("vm-" + std::to_string(i), "dc-" + std::to_string(i % 3));
    }
    for (const auto& vm : list.vms()) {
      auto& node = nodes_[vm.id()];
      schema::DirectoryRow own = MakeRow(vm.id(), 0, 1);
      *own.mutable_vm() = vm;
      node.SetOwnRow(own);
      node.ApplyInitialList(list);
    }
    for (const auto& vm : list.vms()) {
      parents_[vm.id()] =
        FindTreePosition(nodes_.at(vm.id()).GetMembers(),
                         vm.id(),
                         2,
                         [](const std::string&) { return false; })
          .parent;
    }
  }

  Directory& Get(const std::string& aVm) { return nodes_.at(aVm); }

  /** Exchanges rows until none are sent; returns the number of rows sent. */
  std::size_t Settle()
  {
    std::size_t rows = 0;
    for (bool isChanged = true; isChanged;) {
      isChanged = false;
      for (const auto& [id, parent] : parents_) {
        if (!parent.empty()) {
          auto sent = Exchange(id, parent);
          rows += sent;
          isChanged = isChanged || sent > 0;
        }
      }
    }
    return rows;
  }

  bool AgreesEverywhere() const
  {
    auto first = Show(nodes_.begin()->second);
    return std::ranges::all_of(nodes_, [&first](const auto& aEntry) {
      return Show(aEntry.second) == first;
    });
  }

private:
  std::size_t Exchange(const std::string& aChild, const std::string& aParent)
  {
    auto& child = nodes_.at(aChild);
    auto& parent = nodes_.at(aParent);
    auto up = child.CollectForParent(acknowledged_[aChild], kAll);
    acknowledged_[aChild] = up.version;
    for (const auto& row : up.rows) {
      parent.Merge(row, aChild, RowSource::Child);
    }
    auto down = parent.CollectForChild(received_[aChild], aChild, kAll);
    received_[aChild] = down.version;
    for (const auto& row : down.rows) {
      child.Merge(row, aParent, RowSource::Parent);
    }
    return up.rows.size() + down.rows.size();
  }

  std::map<std::string, Directory> nodes_;
  std::map<std::string, std::string> parents_;
  std::map<std::string, std::uint64_t> acknowledged_;
  std::map<std::string, std::uint64_t> received_;
};

} // namespace

TEST_CASE("merging is idempotent and independent of the order of rows")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::vector<schema::DirectoryRow> rows;
    for (std::size_t i = 0; i < 60; ++i) {
      auto row = MakeRow(
        "vm-" + std::to_string(random() % 6), random() % 4, random() % 9);
      row.mutable_vm()->set_leaving(random() % 2 == 0);
      row.set_removed(row.list_version() > 0 && random() % 4 == 0);
      rows.push_back(row);
    }
    Directory left;
    Directory right;
    for (const auto& row : rows) {
      left.Merge(row, "a", RowSource::Child);
    }
    rows.insert(rows.end(), rows.begin(), rows.end());
    std::ranges::shuffle(rows, random);
    for (const auto& row : rows) {
      right.Merge(row, "b", RowSource::Parent);
    }
    CHECK(Show(left) == Show(right));
  }
}

TEST_CASE(
  "a change is sent to every node exactly once, for any number of nodes")
{
  for (std::size_t count : { 16, 64, 160 }) {
    CAPTURE(count);
    TreeSimulation simulation(count);
    simulation.Settle();
    CHECK(simulation.AgreesEverywhere());
    auto& node = simulation.Get("vm-7");
    node.SetOwnRow(MakeRow("vm-7", 0, 2));
    auto rows = simulation.Settle();
    CHECK(simulation.AgreesEverywhere());
    CHECK(rows == count - 1);
  }
}

TEST_CASE("additions and removals in one reader's VM list reach all nodes")
{
  TreeSimulation simulation(20);
  simulation.Settle();
  schema::VmList list;
  for (std::size_t i = 1; i < 20; ++i) {
    *list.add_vms() =
      MakeVm("vm-" + std::to_string(i), "dc-" + std::to_string(i % 3));
  }
  *list.add_vms() = MakeVm("vm-20");
  auto& reader = simulation.Get("vm-3");
  CHECK(reader.ApplyVmList(list));
  CHECK_FALSE(reader.ApplyVmList(list));
  simulation.Settle();
  CHECK(simulation.AgreesEverywhere());
  CHECK(simulation.Get("vm-9").GetMembers().contains("vm-20"));

  list.mutable_vms()->RemoveLast();
  CHECK(reader.ApplyVmList(list));
  simulation.Settle();
  CHECK(simulation.AgreesEverywhere());
  CHECK_FALSE(simulation.Get("vm-9").GetMembers().contains("vm-20"));
}

TEST_CASE("the number of rows of removed VMs is bounded")
{
  constexpr std::size_t kDays = 40;
  constexpr std::size_t kVms = 30;
  constexpr std::size_t kMaxRemoved = 256;
  Directory reader;
  Directory other;
  std::uint64_t version = 0;
  for (std::size_t day = 0; day < kDays; ++day) {
    schema::VmList list;
    for (std::size_t i = 0; i < kVms; ++i) {
      *list.add_vms() =
        MakeVm("day-" + std::to_string(day) + "-" + std::to_string(i));
    }
    reader.ApplyVmList(list);
    auto delta = reader.CollectForChild(version, "other", kAll);
    version = delta.version;
    for (const auto& row : delta.rows) {
      other.Merge(row, "reader", RowSource::Parent);
    }
    CHECK(Show(other) == Show(reader));
  }
  CHECK(other.GetMembers().size() == kVms);
  CHECK(other.CollectForChild(0, "", kAll).rows.size() <= kVms + kMaxRemoved);
}

TEST_CASE("a node with a new parent receives only the rows it lacks")
{
  Directory first;
  Directory second;
  Directory child;
  for (std::size_t i = 0; i < 25; ++i) {
    auto row = MakeRow("vm-" + std::to_string(i), 1, 1);
    first.Merge(row, "x", RowSource::Child);
    second.Merge(row, "y", RowSource::Child);
  }
  for (const auto& row : first.CollectForChild(0, "child", kAll).rows) {
    child.Merge(row, "first", RowSource::Parent);
  }
  second.Merge(MakeRow("vm-3", 1, 2), "y", RowSource::Child);
  second.Merge(MakeRow("vm-25", 1, 1), "y", RowSource::Child);
  auto delta = second.CollectForChild(0, "child", kAll, child.GetDigests());
  CHECK(delta.rows.size() == 2);
  CHECK(delta.version == second.GetVersion());
  for (const auto& row : delta.rows) {
    child.Merge(row, "second", RowSource::Parent);
  }
  CHECK(Show(child) == Show(second));
}

TEST_CASE("a delta above the limit is sent in parts without losing rows")
{
  Directory from;
  for (std::size_t i = 0; i < 25; ++i) {
    from.Merge(MakeRow("vm-" + std::to_string(i), 1, 1), "x", RowSource::Child);
  }
  Directory to;
  std::uint64_t version = 0;
  while (version < from.GetVersion()) {
    auto delta = from.CollectForChild(version, "y", 10);
    CHECK(delta.rows.size() <= 10);
    version = delta.version;
    for (const auto& row : delta.rows) {
      to.Merge(row, "z", RowSource::Parent);
    }
  }
  CHECK(Show(from) == Show(to));
}

TEST_CASE("load and progress are not propagated, readiness and leaving are")
{
  schema::NodeStatus status;
  auto busy = status;
  busy.set_running(7);
  busy.set_config_offset(9);
  busy.mutable_transfer()->set_chunks_held(3);
  CHECK_FALSE(NeedsPropagation(status, busy));
  auto ready = status;
  ready.set_ready_version("v");
  CHECK(NeedsPropagation(status, ready));
  auto leaving = status;
  leaving.set_leaving(true);
  CHECK(NeedsPropagation(status, leaving));
}
