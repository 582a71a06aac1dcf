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
 * Takes pages of the config stream and keeps the fold up to date, wherever
 * the stream begins by now: at offset 0, or at a snapshot whose successors
 * are all still kept. Pure of I/O.
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

  /** Called for each record folded. */
  void OnRecord(RecordHook aHook) { hook_ = std::move(aHook); }

  /** The offset that the next page should begin at. */
  std::uint64_t GetReadOffset() const { return readOffset_; }

  /** Whether a state is known; the fold means nothing before. */
  bool IsStarted() const { return fold_.has_value(); }

  const Fold& GetFold() const { return *fold_; }

  /**
   * Takes what was read from GetReadOffset on. Where the page shows that
   * records between are gone, the replay starts again from a snapshot and
   * keeps its old state until it has found one.
   */
  void Add(const schema::LogPage& aPage);

  /** Takes records that are known to follow each other, from a neighbour. */
  void AddRecords(const std::vector<schema::StoredRecord>& aRecords);

  /** Takes a state over; one that is not ahead of the fold is ignored. */
  bool TakeState(std::uint64_t aNextOffset, const schema::ConfigState& aState);

  /** Offset up to which the newest snapshot seen in the log reaches. */
  std::uint64_t GetSnapshotOffset() const { return snapshotOffset_; }

  /** The first offset that the log still held when it was last read. */
  std::uint64_t GetFirstOffset() const { return firstOffset_; }

  /** Snapshots whose state differed from the own fold at that offset. */
  std::uint64_t GetMismatches() const { return mismatches_; }

private:
  void Take(const schema::StoredRecord& aRecord);
  void Search(const schema::StoredRecord& aRecord);
  void Check(const schema::Snapshot& aSnapshot);
  void NoteDigest();

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
  /** Set while a snapshot is looked for: where what is kept begins. */
  std::optional<std::uint64_t> searchFrom_;
  std::vector<schema::StoredRecord> kept_;
  bool isNearEnd_ = false;
  std::deque<Checkpoint> checkpoints_;
};

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Replay_h
