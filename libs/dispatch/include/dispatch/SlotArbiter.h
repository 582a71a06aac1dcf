#ifndef waxwingyoke_dispatch_SlotArbiter_h
#define waxwingyoke_dispatch_SlotArbiter_h

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** An entry that competes with others for the same upstreams' slots. */
struct CompetingEntry
{
  /** Stable hash of the entry's VM. */
  std::uint64_t hash = 0;
  std::string region;
};

/** One upstream's free slots as this entry has them. */
struct SlotView
{
  /** Stable hash of the upstream's id. */
  std::uint64_t upstream = 0;
  std::string dataCentre;
  /** Requests that it still accepts: free slots plus its queue's room. */
  std::uint32_t freeSlots = 0;
  /** When the reported number of requests there last changed. */
  utils::Millis changedAt;
};

/**
 * Decides whether this entry may take an upstream's last free slots. Entries
 * receive the release of a slot at about the same time, and each one with a
 * queued request would send it there. So the entries are ranked for each
 * upstream, by a hash, and an entry may take the slot once those ranked before
 * it had time to take it and did not.
 */
class SlotArbiter
{
public:
  /** aRegions: the region of each data centre, by the data centre's name. */
  SlotArbiter(CompetingEntry aOwn, std::map<std::string, std::string> aRegions);

  /** Replaces the other entries; pass those whose notices are received. */
  void SetCompetitors(std::vector<CompetingEntry> aOthers);

  /** Whether this entry may send one more request to the upstream. */
  bool MayTakeSlot(const SlotView& aView, utils::Millis aNow) const;

private:
  /** Whether the entry is in the upstream's region. */
  bool IsLocal(const CompetingEntry& aEntry, const SlotView& aView) const;

  CompetingEntry own_;
  std::map<std::string, std::string> regions_;
  std::vector<CompetingEntry> others_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_SlotArbiter_h
