#ifndef waxwingyoke_membership_SnapshotNeed_h
#define waxwingyoke_membership_SnapshotNeed_h

#include <cstdint>
#include <optional>

#include <utils/Time.h>

namespace waxwingyoke::membership {

/** What a relay knows of the snapshots in the log. */
struct SnapshotSight
{
  /** First offset that is not folded here. */
  std::uint64_t nextOffset = 0;
  /** Reach of the newest snapshot in the log. */
  std::uint64_t snapshotOffset = 0;
  /** This relay's rank among all of them. */
  std::size_t rank = 0;
  /** First offset that the log still holds. */
  std::uint64_t firstOffset = 0;
};

/**
 * Decides when a relay writes a snapshot. There is no lease: the first rank
 * writes at once when one is due, the others only where after their longer
 * wait none has shown up. A double is harmless.
 */
class SnapshotNeed
{
public:
  explicit SnapshotNeed(utils::Millis aInterval)
    : interval_(aInterval)
  {
  }

  /** Whether to write one now; to be asked regularly. */
  bool IsDue(const SnapshotSight& aSight, utils::Millis aNow);

private:
  utils::Millis interval_;
  std::uint64_t seenOffset_ = 0;
  std::optional<utils::Millis> seenAt_;
  std::optional<utils::Millis> dueSince_;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_SnapshotNeed_h
