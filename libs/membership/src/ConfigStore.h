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
 * The config stream as far as one node has it: the fold, the latest records
 * for nodes that lie behind, and how long ago this was the log's end. Not
 * synchronised, no I/O.
 */
class ConfigStore
{
public:
  ConfigStore();

  std::uint64_t GetReadOffset() const { return replay_.GetReadOffset(); }
  bool IsStarted() const { return replay_.IsStarted(); }
  const profiles::Replay& GetReplay() const { return replay_; }

  /** First offset that is not in force here. */
  std::uint64_t GetNextOffset() const;

  /** Takes a page read from GetReadOffset on at aNow. */
  void TakePage(const schema::LogPage& aPage, utils::Millis aNow);

  /** Takes a neighbour's answer that came at aNow. */
  void TakeReply(const schema::SyncReply& aReply, utils::Millis aNow);

  /** Adds what a node lacks whose first missing offset is aOffset. */
  void FillReply(std::uint64_t aOffset,
                 utils::Millis aNow,
                 schema::SyncReply& aReply) const;

  /** Since the state was the log's end; empty where it never was. */
  std::optional<utils::Millis> GetAge(utils::Millis aNow) const;

  /** When the state was the log's end for the last time, as far as known. */
  std::optional<utils::Millis> GetFreshTime() const { return freshAt_; }

  std::uint64_t GetSkippedRecords() const { return skipped_; }

private:
  void Keep(const schema::StoredRecord& aRecord, std::uint64_t aBefore);

  profiles::Replay replay_;
  std::deque<schema::StoredRecord> latest_;
  std::size_t latestBytes_ = 0;
  std::optional<utils::Millis> freshAt_;
  std::uint64_t skipped_ = 0;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_ConfigStore_h
