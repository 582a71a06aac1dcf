#ifndef waxwingyoke_membership_SnapshotSchedule_h
#define waxwingyoke_membership_SnapshotSchedule_h

#include <cstdint>
#include <optional>

#include <utils/Time.h>

namespace waxwingyoke::membership {

/** Offsets of the log and its newest snapshot, as one relay sees them. */
struct SnapshotStatus
{
  /** First offset that is not folded here. */
  std::uint64_t nextOffset = 0;
  /** Next offset after the newest snapshot in the log. */
  std::uint64_t snapshotOffset = 0;
  /** This relay's rank among all relays. */
  std::size_t rank = 0;
  /** First offset that the log still retains. */
  std::uint64_t firstOffset = 0;
};

/**
 * Decides when a relay writes a snapshot. There is no lease: the relay of the
 * first rank writes as soon as one is due; each other rank waits longer and
 * writes only if no new snapshot was read by then. A duplicate is harmless.
 */
class SnapshotSchedule
{
public:
  explicit SnapshotSchedule(utils::Millis aInterval)
    : interval_(aInterval)
  {
  }

  /** Whether to write a snapshot now. Call at regular intervals. */
  bool IsDue(const SnapshotStatus& aStatus, utils::Millis aNow);

private:
  utils::Millis interval_;
  std::uint64_t newestOffset_ = 0;
  std::optional<utils::Millis> newestAt_;
  std::optional<utils::Millis> dueSince_;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_SnapshotSchedule_h
