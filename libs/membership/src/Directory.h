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

/** Rows that changed, and the change up to which they reach. */
struct DirectoryDelta
{
  std::vector<schema::DirectoryRow> rows;
  std::uint64_t version = 0;
};

/** Digests of rows, by which two nodes find what both have. */
using RowDigests = std::unordered_set<std::uint64_t>;

/** Where a row of another node came from. */
enum class RowSource
{
  Above,
  Below
};

/**
 * What one node knows of every VM, with a count of its own changes, so that
 * neighbours get only what is new to them. Merging is idempotent and takes
 * rows in any order. Not synchronised, no I/O.
 */
class Directory
{
public:
  /** Merges a row that aPeer sent; whether anything changed. */
  bool Merge(const schema::DirectoryRow& aRow,
             const std::string& aPeer,
             RowSource aSource);

  /** Takes what this process says of itself, as a change to spread. */
  void SetOwn(const schema::DirectoryRow& aRow);

  /** Replaces the own row's status without spreading it. */
  void AmendOwn(const schema::NodeStatus& aStatus);

  /** Takes the platform's list as its reader; whether anything changed. */
  bool TakeVmList(const schema::VmList& aList);

  /** Takes the list for a start, to be replaced by what neighbours know. */
  void TakeHint(const schema::VmList& aList);

  /**
   * Changes after aVersion for a node below that is called aPeer, but for
   * those rows that it has.
   */
  DirectoryDelta CollectDown(std::uint64_t aVersion,
                             const std::string& aPeer,
                             std::size_t aMax,
                             const RowDigests& aKnown = {}) const;

  /** A digest of each row as it stands. */
  RowDigests GetDigests() const;

  /** Changes after aVersion that came from this node or from below. */
  DirectoryDelta CollectUp(std::uint64_t aVersion, std::size_t aMax) const;

  std::uint64_t GetVersion() const { return version_; }

  std::map<std::string, Member> GetMembers() const;

private:
  struct Row
  {
    schema::DirectoryRow row;
    std::uint64_t version = 0;
    /** The neighbour that sent it as it stands; empty: nobody did. */
    std::string peer;
    bool fromBelow = true;
  };

  template<typename Filter>
  DirectoryDelta Collect(std::uint64_t aVersion,
                         std::size_t aMax,
                         Filter aFilter) const;
  Row& Touch(const std::string& aVm);
  /** Drops the rows of VMs that went longest ago, but for the newest few. */
  void DropOldRemoved();

  std::uint64_t version_ = 0;
  std::map<std::string, Row> rows_;
};

/** Whether aLeft is later than aRight of the same VM. */
bool
IsNewer(const schema::NodeStatus& aLeft, const schema::NodeStatus& aRight);

/** Whether others must hear of the difference soon. */
bool
IsMaterial(const schema::NodeStatus& aOld, const schema::NodeStatus& aNew);

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_Directory_h
