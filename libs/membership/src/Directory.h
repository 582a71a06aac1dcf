#ifndef waxwingyoke_membership_Directory_h
#define waxwingyoke_membership_Directory_h

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include <membership/View.h>
#include <schema/control.pb.h>

namespace waxwingyoke::membership {

/** Rows that changed, and the directory version that they bring a peer to. */
struct DirectoryDelta
{
  std::vector<schema::DirectoryRow> rows;
  std::uint64_t version = 0;
};

/** Digests of rows; a sender omits the rows whose digest the receiver has. */
using RowDigests = std::unordered_set<std::uint64_t>;

/** Whether the neighbour that sent a row is the parent or a child. */
enum class RowSource
{
  Parent,
  Child
};

/**
 * One node's rows of all VMs, each with the version of its last local change,
 * so that neighbours receive only rows that are new to them. Merging is
 * idempotent and independent of the order of rows. Not synchronised, no I/O.
 */
class Directory
{
public:
  /** Merges a row that aPeer sent; returns whether anything changed. */
  bool Merge(const schema::DirectoryRow& aRow,
             const std::string& aPeer,
             RowSource aSource);

  /** Sets this process's own row, to be sent to neighbours. */
  void SetOwnRow(const schema::DirectoryRow& aRow);

  /** Replaces the own row's status without marking the row as changed. */
  void UpdateOwnStatus(const schema::NodeStatus& aStatus);

  /**
   * Applies the platform's list as read by this node: assigns list versions
   * and marks missing VMs as removed. Returns whether anything changed.
   */
  bool ApplyVmList(const schema::VmList& aList);

  /**
   * Applies the list at the start, without list versions: a row with a list
   * version, from a neighbour or a later read, replaces it.
   */
  void ApplyInitialList(const schema::VmList& aList);

  /**
   * Up to aMax changes after aVersion for the child aPeer, without the rows
   * that aPeer sent itself and those whose digest is in aKnown.
   */
  DirectoryDelta CollectForChild(std::uint64_t aVersion,
                                 const std::string& aPeer,
                                 std::size_t aMax,
                                 const RowDigests& aKnown = {}) const;

  /** A digest of each current row. */
  RowDigests GetDigests() const;

  /** Up to aMax changes after aVersion made by this node or its subtree. */
  DirectoryDelta CollectForParent(std::uint64_t aVersion,
                                  std::size_t aMax) const;

  std::uint64_t GetVersion() const { return version_; }

  std::map<std::string, Member> GetMembers() const;

private:
  struct Row
  {
    schema::DirectoryRow row;
    std::uint64_t version = 0;
    /** The neighbour that sent exactly this row; empty if none did. */
    std::string peer;
    bool fromSubtree = true;
  };

  template<typename Filter>
  DirectoryDelta Collect(std::uint64_t aVersion,
                         std::size_t aMax,
                         Filter aFilter) const;
  Row& MarkChanged(const std::string& aVm);
  /** Drops the rows of removed VMs, all but the most recent kMaxRemoved. */
  void DropOldRemoved();

  std::uint64_t version_ = 0;
  std::map<std::string, Row> rows_;
};

/** Whether aLeft is a later status of the same VM than aRight. */
bool
IsNewer(const schema::NodeStatus& aLeft, const schema::NodeStatus& aRight);

/** Whether the difference must be sent to other nodes. */
bool
NeedsPropagation(const schema::NodeStatus& aOld,
                 const schema::NodeStatus& aNew);

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_Directory_h
