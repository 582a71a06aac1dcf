#ifndef waxwingyoke_dispatch_EntryRoster_h
#define waxwingyoke_dispatch_EntryRoster_h

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <dispatch/SlotArbiter.h>
#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/**
 * An entry's place in the order of entries for one upstream: those of its
 * region first, then by a stable hash. Lower is earlier.
 */
struct EntryRank
{
  bool isRemote = false;
  std::uint64_t hash = 0;

  auto operator<=>(const EntryRank&) const = default;
};

/**
 * The entries that may send to upstreams now, as far as this one can tell from
 * their notices. Not thread-safe.
 */
class EntryRoster
{
public:
  /** Of an entry without others. */
  EntryRoster() = default;
  /** aRegions: the region of each data centre, by the data centre's name. */
  EntryRoster(CompetingEntry aOwn, std::map<std::string, std::string> aRegions);

  /** aIsLeaving: it has announced that it sends nothing more. */
  void RecordNotice(const std::string& aVm,
                    const std::string& aRegion,
                    bool aIsLeaving,
                    utils::Millis aNow);

  /**
   * Gives up this entry's place for good, if another entry counts that can have
   * it; returns whether it did. The others have to be notified.
   */
  bool Leave(utils::Millis aNow);
  bool HasLeft() const { return hasLeft_; }

  using Visitor =
    std::function<void(const std::string& aVm, const CompetingEntry& aEntry)>;
  /** Calls aVisitor with each other entry that counts. */
  void VisitOthers(utils::Millis aNow, const Visitor& aVisitor) const;

  /** aUpstream: stable hash of the upstream's id. */
  EntryRank GetRank(const CompetingEntry& aEntry,
                    std::uint64_t aUpstream,
                    const std::string& aDataCentre) const;

  const CompetingEntry& GetOwn() const { return own_; }

private:
  struct Row
  {
    CompetingEntry entry;
    utils::Millis receivedAt;
    bool isLeaving = false;
  };

  CompetingEntry own_;
  std::map<std::string, std::string> regions_;
  /** By the entry's VM. */
  std::map<std::string, Row> others_;
  bool hasLeft_ = false;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_EntryRoster_h
