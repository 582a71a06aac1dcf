#ifndef waxwingyoke_membership_ConfigStore_h
#define waxwingyoke_membership_ConfigStore_h

#include <cstdint>
#include <deque>
#include <optional>

#include <profiles/Replay.h>
#include <schema/control.pb.h>
#include <utils/Time.h>

namespace waxwingyoke::membership {

/**
 * One node's copy of the config stream: the folded state, a cache of recent
 * records for nodes that are behind, and when the state last matched the log's
 * end. Not synchronised, no I/O.
 */
class ConfigStore
{
public:
  ConfigStore();

  std::uint64_t GetReadOffset() const { return replay_.GetReadOffset(); }
  bool IsStarted() const { return replay_.IsStarted(); }
  const profiles::Replay& GetReplay() const { return replay_; }

  /** First offset that is not folded here. */
  std::uint64_t GetNextOffset() const;

  /** Applies a page of the log that was read from GetReadOffset on. */
  void ApplyPage(const schema::LogPage& aPage, utils::Millis aNow);

  /** Applies a neighbour's reply that was received at aNow. */
  void ApplyReply(const schema::SyncReply& aReply, utils::Millis aNow);

  /**
   * Adds the records from aOffset on, as many as fit, or a snapshot where the
   * cache does not hold them all.
   */
  void FillReply(std::uint64_t aOffset,
                 utils::Millis aNow,
                 schema::SyncReply& aReply) const;

  /** Time since the state last matched the log's end; empty if it never
   * did. */
  std::optional<utils::Millis> GetAge(utils::Millis aNow) const;

  /** When the state was last observed to match the log's end. */
  std::optional<utils::Millis> GetUpToDateTime() const { return upToDateAt_; }

  std::uint64_t GetSkippedRecords() const { return skipped_; }

private:
  void CacheRecord(const schema::StoredRecord& aRecord,
                   std::uint64_t aPreviousNextOffset);

  profiles::Replay replay_;
  std::deque<schema::StoredRecord> recentRecords_;
  std::size_t recentBytes_ = 0;
  std::optional<utils::Millis> upToDateAt_;
  std::uint64_t skipped_ = 0;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_ConfigStore_h
