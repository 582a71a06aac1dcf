#ifndef waxwingyoke_profiles_Replay_h
#define waxwingyoke_profiles_Replay_h

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include <profiles/Fold.h>
#include <schema/platform.pb.h>

namespace waxwingyoke::profiles {

/**
 * Keeps a fold up to date from pages of the config stream. The stream may
 * begin at offset 0, or may have been trimmed; then the fold starts from a
 * snapshot whose following records are all still in the log. Does no I/O and
 * is not thread-safe.
 *
 *     Replay replay;
 *     while (auto page = Read(replay.GetReadOffset())) {
 *       replay.Add(*page);
 *     }
 */
class Replay
{
public:
  using RecordHook =
    std::function<void(std::uint64_t aOffset, const FoldResult&)>;

  /** Sets a hook that is called for each record folded. */
  void OnRecord(RecordHook aHook) { hook_ = std::move(aHook); }

  /** The offset from which the next page must be read. */
  std::uint64_t GetReadOffset() const { return readOffset_; }

  /** Whether there is a state; GetFold must not be called before. */
  bool IsStarted() const { return fold_.has_value(); }

  const Fold& GetFold() const { return *fold_; }

  /**
   * Adds a page that was read from GetReadOffset on. If the page shows that
   * the log was trimmed past this offset, the replay looks for a snapshot to
   * start from and keeps its old state until it has found one.
   */
  void Add(const schema::LogPage& aPage);

  /** Adds consecutive records received from another node. */
  void AddRecords(const std::vector<schema::StoredRecord>& aRecords);

  /**
   * Replaces the fold by a state received from another node. Returns false
   * and changes nothing if the state is not ahead of the fold.
   */
  bool ApplyState(std::uint64_t aNextOffset, const schema::ConfigState& aState);

  /** The next offset of the newest snapshot seen in the log. */
  std::uint64_t GetSnapshotOffset() const { return snapshotOffset_; }

  /** The first offset that the log still contained at the last read. */
  std::uint64_t GetFirstOffset() const { return firstOffset_; }

  /** Number of snapshots that differed from this fold at their offset. */
  std::uint64_t GetMismatches() const { return mismatches_; }

private:
  /**
   * Folds the record at readOffset_, or buffers it while a snapshot is searched
   * for. Records at other offsets are ignored.
   */
  void ApplyNext(const schema::StoredRecord& aRecord);
  void SearchSnapshot(const schema::StoredRecord& aRecord);
  void CheckSnapshot(const schema::Snapshot& aSnapshot);
  void RecordDigest();

  /** The digest of the state as of one offset. */
  struct Checkpoint
  {
    std::uint64_t nextOffset;
    utils::Digest digest;
  };

  std::optional<Fold> fold_;
  RecordHook hook_;
  std::uint64_t readOffset_ = 0;
  std::uint64_t snapshotOffset_ = 0;
  std::uint64_t firstOffset_ = 0;
  std::uint64_t mismatches_ = 0;
  /** Set while searching for a snapshot: offset of the first record. */
  std::optional<std::uint64_t> searchFrom_;
  /** Records read during the search, to be folded after the snapshot. */
  std::vector<schema::StoredRecord> bufferedRecords_;
  bool isNearEnd_ = false;
  std::deque<Checkpoint> checkpoints_;
};

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Replay_h
