#ifndef waxwingyoke_membership_Tree_h
#define waxwingyoke_membership_Tree_h

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include <membership/View.h>

namespace waxwingyoke::membership {

/** Most nodes of one data centre that ask the same node. */
inline constexpr std::size_t kTreeFanOut = 2;

/** One node's place in the tree that news runs along. */
struct Place
{
  /** Whether it reads the log and the VM list itself. */
  bool relay = false;
  /** Its rank among all relays of all data centres. */
  std::size_t relayRank = 0;
  /** The VM that it asks for news; empty at the top. */
  std::string parent;
};

/** Whether a VM was unreachable lately, as this node sees it. */
using SuspectTest = std::function<bool(const std::string& aVm)>;

/**
 * The place that follows from a node's own view and suspicions.
 *
 * Each data centre's VMs are ranked by a rendezvous hash; the first aRelays
 * that answer are its relays, the others hang below them, kTreeFanOut to
 * each. The relays of all data centres hang below each other in the same
 * way. A parent always ranks before its child, whatever either suspects, so
 * that no cycle can arise from views that differ.
 */
Place
FindPlace(const std::map<std::string, Member>& aMembers,
          const std::string& aVm,
          std::size_t aRelays,
          const SuspectTest& aIsSuspect);

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_Tree_h
