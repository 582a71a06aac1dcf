#ifndef waxwingyoke_dispatch_SlotTurns_h
#define waxwingyoke_dispatch_SlotTurns_h

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** An entry that sends to the same upstreams as others. */
struct SlotRival
{
  /** Stable hash of the entry's VM. */
  std::uint64_t hash = 0;
  std::string region;
};

/** What is known of one upstream's places. */
struct SlotView
{
  /** Stable hash of the upstream's id. */
  std::uint64_t upstream = 0;
  std::string dataCentre;
  /** Requests that it still takes: free slots and its queue. */
  std::uint32_t free = 0;
  /** When the known number of requests there last changed. */
  utils::Millis changedAt;
};

/**
 * Who may take an upstream's last places. Entries hear of a freed place at
 * about the same time, and all that have a request waiting would send it
 * there; so each upstream's entries have an order, and the next one's turn
 * comes when those before have left the place unused.
 */
class SlotTurns
{
public:
  /** aRegions: the region of each data centre. */
  SlotTurns(SlotRival aOwn, std::map<std::string, std::string> aRegions);

  /** The other entries that are heard. */
  void SetOthers(std::vector<SlotRival> aOthers);

  bool MayTake(const SlotView& aView, utils::Millis aNow) const;

private:
  bool IsNear(const SlotRival& aEntry, const SlotView& aView) const;

  SlotRival own_;
  std::map<std::string, std::string> regions_;
  std::vector<SlotRival> others_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_SlotTurns_h
