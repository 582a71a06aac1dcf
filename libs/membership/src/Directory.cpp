#include "Directory.h"

#include <algorithm>
#include <set>
#include <tuple>

#include <utils/Hash.h>

namespace waxwingyoke::membership {

namespace {

// VMs are replaced daily. The row of a removed VM is kept until no neighbour
// can still hold that VM as listed, or a stale row would list it again.
constexpr std::size_t kMaxRemoved = 256;

bool
IsSame(const schema::Vm& aLeft, const schema::Vm& aRight)
{
  return aLeft.SerializeAsString() == aRight.SerializeAsString();
}

// Two relays may assign the same list version to different reads of the VM
// list. Comparing the contents makes every node keep the same row until the
// next read.
bool
IsNewerListing(const schema::DirectoryRow& aLeft,
               const schema::DirectoryRow& aRight)
{
  if (aLeft.list_version() != aRight.list_version()) {
    return aLeft.list_version() > aRight.list_version();
  }
  if (aLeft.removed() != aRight.removed()) {
    return aLeft.removed();
  }
  return aLeft.vm().SerializeAsString() > aRight.vm().SerializeAsString();
}

bool
MergeRow(schema::DirectoryRow& aLocal, const schema::DirectoryRow& aReceived)
{
  bool changed = false;
  if (IsNewerListing(aReceived, aLocal)) {
    *aLocal.mutable_vm() = aReceived.vm();
    aLocal.set_list_version(aReceived.list_version());
    aLocal.set_removed(aReceived.removed());
    changed = true;
  }
  bool isFirst = aReceived.has_status() && !aLocal.has_status();
  if (isFirst || (aReceived.has_status() &&
                  IsNewer(aReceived.status(), aLocal.status()))) {
    *aLocal.mutable_status() = aReceived.status();
    changed = true;
  }
  return changed;
}

std::uint64_t
GetDigest(const schema::DirectoryRow& aRow)
{
  return utils::StableHash(aRow.SerializeAsString());
}

} // namespace

bool
IsNewer(const schema::NodeStatus& aLeft, const schema::NodeStatus& aRight)
{
  return std::forward_as_tuple(
           aLeft.started_ms(), aLeft.incarnation(), aLeft.sequence()) >
         std::forward_as_tuple(
           aRight.started_ms(), aRight.incarnation(), aRight.sequence());
}

bool
NeedsPropagation(const schema::NodeStatus& aOld, const schema::NodeStatus& aNew)
{
  // Load is sent to the entries with each answer; operators query progress,
  // offsets and the ready revision. Propagating these would make every node
  // process the updates of every other node.
  auto removeVolatile = [](schema::NodeStatus aStatus) {
    aStatus.clear_sequence();
    aStatus.clear_config_offset();
    aStatus.clear_running();
    aStatus.clear_ready_revision();
    aStatus.clear_transfer();
    return aStatus.SerializeAsString();
  };
  return removeVolatile(aOld) != removeVolatile(aNew) ||
         aOld.transfer().version() != aNew.transfer().version();
}

Directory::Row&
Directory::MarkChanged(const std::string& aVm)
{
  auto& row = rows_[aVm];
  row.version = ++version_;
  row.peer.clear();
  row.fromSubtree = true;
  return row;
}

bool
Directory::Merge(const schema::DirectoryRow& aRow,
                 const std::string& aPeer,
                 RowSource aSource)
{
  auto existing = rows_.find(aRow.vm().id());
  schema::DirectoryRow merged;
  if (existing == rows_.end()) {
    merged = aRow;
  } else {
    merged = existing->second.row;
    if (!MergeRow(merged, aRow)) {
      return false;
    }
  }
  // A row merged from both sides must be sent back to the sender too, so it
  // is not attributed to that peer.
  bool equalsReceived = merged.SerializeAsString() == aRow.SerializeAsString();
  auto& row = MarkChanged(aRow.vm().id());
  row.row = std::move(merged);
  if (equalsReceived) {
    row.peer = aPeer;
    row.fromSubtree = aSource == RowSource::Child;
  }
  if (row.row.removed()) {
    DropOldRemoved();
  }
  return true;
}

void
Directory::DropOldRemoved()
{
  std::vector<std::pair<std::uint64_t, std::string>> removed;
  for (const auto& [id, row] : rows_) {
    if (row.row.removed()) {
      removed.emplace_back(row.version, id);
    }
  }
  if (removed.size() <= kMaxRemoved) {
    return;
  }
  std::ranges::sort(removed);
  removed.resize(removed.size() - kMaxRemoved);
  std::ranges::for_each(
    removed, [this](const auto& aEntry) { rows_.erase(aEntry.second); });
}

void
Directory::SetOwnRow(const schema::DirectoryRow& aRow)
{
  auto& row = MarkChanged(aRow.vm().id());
  auto listed = row.row;
  row.row = aRow;
  if (listed.list_version() > 0) {
    *row.row.mutable_vm() = listed.vm();
    row.row.set_list_version(listed.list_version());
    row.row.set_removed(listed.removed());
  } else if (listed.has_vm()) {
    *row.row.mutable_vm() = listed.vm();
  }
}

void
Directory::UpdateOwnStatus(const schema::NodeStatus& aStatus)
{
  *rows_[aStatus.vm()].row.mutable_status() = aStatus;
}

bool
Directory::ApplyVmList(const schema::VmList& aList)
{
  auto previousVersion = version_;
  std::set<std::string> listed;
  std::ranges::for_each(aList.vms(), [&](const schema::Vm& aVm) {
    listed.insert(aVm.id());
    const auto& existing = rows_[aVm.id()].row;
    bool same = existing.list_version() > 0 && !existing.removed() &&
                IsSame(existing.vm(), aVm);
    if (!same) {
      auto& row = MarkChanged(aVm.id()).row;
      *row.mutable_vm() = aVm;
      row.set_list_version(row.list_version() + 1);
      row.set_removed(false);
    }
  });
  for (auto& [id, existing] : rows_) {
    bool isUnlisted = existing.row.list_version() > 0 &&
                      !existing.row.removed() && !listed.contains(id);
    if (isUnlisted) {
      auto& row = MarkChanged(id).row;
      row.set_list_version(row.list_version() + 1);
      row.set_removed(true);
    }
  }
  DropOldRemoved();
  return version_ != previousVersion;
}

void
Directory::ApplyInitialList(const schema::VmList& aList)
{
  std::ranges::for_each(aList.vms(), [this](const schema::Vm& aVm) {
    if (rows_[aVm.id()].row.list_version() > 0) {
      return;
    }
    auto& row = MarkChanged(aVm.id());
    *row.row.mutable_vm() = aVm;
    row.fromSubtree = row.row.has_status();
  });
}

template<typename Filter>
DirectoryDelta
Directory::Collect(std::uint64_t aVersion,
                   std::size_t aMax,
                   Filter aFilter) const
{
  std::vector<const Row*> changed;
  for (const auto& [id, row] : rows_) {
    if (row.version > aVersion && aFilter(row)) {
      changed.push_back(&row);
    }
  }
  std::ranges::sort(changed, {}, &Row::version);
  DirectoryDelta delta;
  delta.version = version_;
  if (changed.size() > aMax) {
    changed.resize(aMax);
    delta.version = changed.back()->version;
  }
  std::ranges::transform(changed,
                         std::back_inserter(delta.rows),
                         [](const Row* aRow) { return aRow->row; });
  return delta;
}

DirectoryDelta
Directory::CollectForChild(std::uint64_t aVersion,
                           const std::string& aPeer,
                           std::size_t aMax,
                           const RowDigests& aKnown) const
{
  return Collect(aVersion, aMax, [&](const Row& aRow) {
    bool isFromPeer = !aRow.peer.empty() && aRow.peer == aPeer;
    return !isFromPeer &&
           (aKnown.empty() || !aKnown.contains(GetDigest(aRow.row)));
  });
}

RowDigests
Directory::GetDigests() const
{
  RowDigests digests;
  for (const auto& [id, row] : rows_) {
    digests.insert(GetDigest(row.row));
  }
  return digests;
}

DirectoryDelta
Directory::CollectForParent(std::uint64_t aVersion, std::size_t aMax) const
{
  return Collect(
    aVersion, aMax, [](const Row& aRow) { return aRow.fromSubtree; });
}

std::map<std::string, Member>
Directory::GetMembers() const
{
  std::map<std::string, Member> members;
  for (const auto& [id, row] : rows_) {
    if (row.row.removed() || row.row.vm().address().empty()) {
      continue;
    }
    auto& member = members[id];
    member.vm = row.row.vm();
    if (row.row.has_status()) {
      member.status = row.row.status();
    }
  }
  return members;
}

} // namespace waxwingyoke::membership
