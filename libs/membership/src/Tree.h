#ifndef waxwingyoke_membership_Tree_h
#define waxwingyoke_membership_Tree_h

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include <membership/View.h>

namespace waxwingyoke::membership {

/** Most children that a node has at one level of the tree: among its data
 * centre's nodes, and as a relay among the relays. */
inline constexpr std::size_t kTreeFanOut = 2;

/** One node's position in the tree that distributes updates. */
struct TreePosition
{
  /** Whether it reads the log and the VM list itself. */
  bool relay = false;
  /** Its rank among all relays of all data centres. */
  std::size_t relayRank = 0;
  /** The VM that it fetches updates from; empty for the root. */
  std::string parent;
};

/** Whether this node recently failed to reach a VM. */
using SuspectTest = std::function<bool(const std::string& aVm)>;

/**
 * Computes a node's position from its own view and its suspected VMs.
 *
 * Each data centre's VMs are ranked by a rendezvous hash. The first aRelays
 * that are not suspected are its relays; the others are their descendants, with
 * kTreeFanOut children for each node. The relays of all data centres form a
 * tree in the same way. A parent always ranks before its child, whichever VMs
 * either suspects, so nodes with different views cannot form a cycle. A node
 * that its view doesn't list is a relay without a parent.
 */
TreePosition
FindTreePosition(const std::map<std::string, Member>& aMembers,
                 const std::string& aVm,
                 std::size_t aRelays,
                 const SuspectTest& aIsSuspect);

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_Tree_h
