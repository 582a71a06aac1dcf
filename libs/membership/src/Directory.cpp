#include "Directory.h"

#include <algorithm>
#include <set>
#include <tuple>

#include <utils/Hash.h>

namespace waxwingyoke::membership {

namespace {

// VMs are replaced daily; a row of one that went is kept until no neighbour
// can still hold it as listed.
constexpr std::size_t kMaxRemoved = 256;

bool
IsSame(const schema::Vm& aLeft, const schema::Vm& aRight)
{
  return aLeft.SerializeAsString() == aRight.SerializeAsString();
}

// Two readers of the list may count to the same version from different
// reads; every node then keeps the same one until the next read.
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
MergeRow(schema::DirectoryRow& aMine, const schema::DirectoryRow& aTheirs)
{
  bool changed = false;
  if (IsNewerListing(aTheirs, aMine)) {
    *aMine.mutable_vm() = aTheirs.vm();
    aMine.set_list_version(aTheirs.list_version());
    aMine.set_removed(aTheirs.removed());
    changed = true;
  }
  bool isFirst = aTheirs.has_status() && !aMine.has_status();
  if (isFirst ||
      (aTheirs.has_status() && IsNewer(aTheirs.status(), aMine.status()))) {
    *aMine.mutable_status() = aTheirs.status();
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
IsMaterial(const schema::NodeStatus& aOld, const schema::NodeStatus& aNew)
{
  // Load reaches the entries with each answer; progress, offsets and the
  // revision of what is ready are asked for by operators. To spread those
  // would cost every node a share of every other node's work.
  auto reduce = [](schema::NodeStatus aStatus) {
    aStatus.clear_sequence();
    aStatus.clear_config_offset();
    aStatus.clear_running();
    aStatus.clear_ready_revision();
    aStatus.clear_transfer();
    return aStatus.SerializeAsString();
  };
  return reduce(aOld) != reduce(aNew) ||
         aOld.transfer().version() != aNew.transfer().version();
}

Directory::Row&
Directory::Touch(const std::string& aVm)
{
  auto& row = rows_[aVm];
  row.version = ++version_;
  row.peer.clear();
  row.fromBelow = true;
  return row;
}

bool
Directory::Merge(const schema::DirectoryRow& aRow,
                 const std::string& aPeer,
                 RowSource aSource)
{
  auto known = rows_.find(aRow.vm().id());
  schema::DirectoryRow merged;
  if (known == rows_.end()) {
    merged = aRow;
  } else {
    merged = known->second.row;
    if (!MergeRow(merged, aRow)) {
      return false;
    }
  }
  // A mix of both sides' parts is news to the sender as well.
  bool isTheirs = merged.SerializeAsString() == aRow.SerializeAsString();
  auto& row = Touch(aRow.vm().id());
  row.row = std::move(merged);
  if (isTheirs) {
    row.peer = aPeer;
    row.fromBelow = aSource == RowSource::Below;
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
Directory::SetOwn(const schema::DirectoryRow& aRow)
{
  auto& row = Touch(aRow.vm().id());
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
Directory::AmendOwn(const schema::NodeStatus& aStatus)
{
  *rows_[aStatus.vm()].row.mutable_status() = aStatus;
}

bool
Directory::TakeVmList(const schema::VmList& aList)
{
  auto before = version_;
  std::set<std::string> listed;
  std::ranges::for_each(aList.vms(), [&](const schema::Vm& aVm) {
    listed.insert(aVm.id());
    const auto& known = rows_[aVm.id()].row;
    bool same =
      known.list_version() > 0 && !known.removed() && IsSame(known.vm(), aVm);
    if (!same) {
      auto& row = Touch(aVm.id()).row;
      *row.mutable_vm() = aVm;
      row.set_list_version(row.list_version() + 1);
      row.set_removed(false);
    }
  });
  for (auto& [id, known] : rows_) {
    bool isGone = known.row.list_version() > 0 && !known.row.removed() &&
                  !listed.contains(id);
    if (isGone) {
      auto& row = Touch(id).row;
      row.set_list_version(row.list_version() + 1);
      row.set_removed(true);
    }
  }
  DropOldRemoved();
  return version_ != before;
}

void
Directory::TakeHint(const schema::VmList& aList)
{
  std::ranges::for_each(aList.vms(), [this](const schema::Vm& aVm) {
    if (rows_[aVm.id()].row.list_version() > 0) {
      return;
    }
    auto& row = Touch(aVm.id());
    *row.row.mutable_vm() = aVm;
    row.fromBelow = row.row.has_status();
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
Directory::CollectDown(std::uint64_t aVersion,
                       const std::string& aPeer,
                       std::size_t aMax,
                       const RowDigests& aKnown) const
{
  return Collect(aVersion, aMax, [&](const Row& aRow) {
    bool isTheirs = !aRow.peer.empty() && aRow.peer == aPeer;
    return !isTheirs &&
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
Directory::CollectUp(std::uint64_t aVersion, std::size_t aMax) const
{
  return Collect(
    aVersion, aMax, [](const Row& aRow) { return aRow.fromBelow; });
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
