#ifndef waxwingyoke_fleet_PieceStore_h
#define waxwingyoke_fleet_PieceStore_h

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <platform/UpstreamCalls.h>
#include <utils/Digest.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/**
 * The pieces of one model in the staging area of the upstream on this VM. Only
 * pieces whose digests were checked count as staged.
 */
class PieceStore
{
public:
  /** aClock has to count the time in which the VM is suspended. */
  explicit PieceStore(platform::LocalUpstream& aUpstream,
                      utils::Clock aClock = utils::Clock::CountingSuspension());

  /**
   * Makes aList the wanted version and checks the pieces that the upstream
   * already holds. Pieces that two versions share are kept. A staged piece
   * with more than aMaxPieceBytes is damaged.
   */
  void SetWantedList(const platform::PieceList& aList,
                     std::size_t aMaxPieceBytes);

  /** Numbers of the wanted pieces that are not staged. */
  std::set<std::uint32_t> GetMissing() const;

  /**
   * Stages a piece. False with a reason if its digest does not match the list
   * or the upstream does not take it.
   */
  bool Put(std::uint32_t aPiece,
           const std::string& aBytes,
           utils::Error& aReason);

  /**
   * The bytes with that digest, verified against it on each call; empty if not
   * staged or damaged.
   */
  std::optional<std::string> Get(const utils::Digest& aDigest);

  /** Whether the wanted version has a piece with that digest. */
  bool IsWanted(const utils::Digest& aDigest) const;

  /** Reads all pieces back; damaged ones count as missing from then on. */
  void Verify();

  /**
   * Time since the wanted piece whose last check is the oldest was found whole;
   * 0 while no version is wanted. Damage that is older has been found.
   */
  utils::Millis GetCheckAge() const;

  /** Whether the last check of a wanted piece found other bytes. */
  bool HasDamaged() const;

  /** When the last write ended; empty if there was none. */
  std::optional<utils::Millis> GetLastWriteAt() const { return lastWriteAt_; }

  /** Whether a write was not answered, so that it may still be applied. */
  bool HasOpenWrite() const { return hasOpenWrite_; }

  /** The upstream has started anew: earlier writes were applied or are lost. */
  void EndOpenWrites() { hasOpenWrite_ = false; }

  const platform::PieceList& GetList() const { return list_; }

private:
  struct CheckedPiece
  {
    utils::Digest digest;
    /** When the read or write began that showed the digest. */
    utils::Millis checkedAt;
  };

  bool VerifyPiece(std::uint32_t aPiece);

  platform::LocalUpstream& upstream_;
  utils::Clock clock_;
  platform::PieceList list_;
  std::size_t maxPieceBytes_ = 0;
  /** The checked pieces by number. */
  std::map<std::uint32_t, CheckedPiece> staged_;
  std::optional<utils::Millis> lastWriteAt_;
  bool hasOpenWrite_ = false;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_PieceStore_h
