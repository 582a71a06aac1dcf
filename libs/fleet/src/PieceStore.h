#ifndef waxwingyoke_fleet_PieceStore_h
#define waxwingyoke_fleet_PieceStore_h

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <platform/UpstreamCalls.h>
#include <utils/Digest.h>

namespace waxwingyoke::fleet {

/**
 * The pieces of one model that lie in the staging area of the upstream on
 * this VM, as far as their digests were checked.
 */
class PieceStore
{
public:
  explicit PieceStore(platform::LocalUpstream& aUpstream);

  /**
   * Takes aList as what is wanted and checks what already lies there of it.
   * Pieces that two versions share stay.
   */
  void Begin(const platform::PieceList& aList);

  /** Numbers of wanted pieces that are not there. */
  std::set<std::uint32_t> GetMissing() const;

  /** Stages a piece; false with a reason if its bytes are not the wanted. */
  bool Put(std::uint32_t aPiece,
           const std::string& aBytes,
           utils::Error& aReason);

  /** The bytes with that digest, checked; empty if they are not there. */
  std::optional<std::string> Get(const utils::Digest& aDigest);

  /** Whether a piece with that digest is wanted, staged or not. */
  bool IsWanted(const utils::Digest& aDigest) const;

  /** Reads all pieces back; drops those that are damaged. */
  void Verify();

  const platform::PieceList& GetList() const { return list_; }

private:
  bool Check(std::uint32_t aPiece);

  platform::LocalUpstream& upstream_;
  platform::PieceList list_;
  /** Checked pieces by number. */
  std::map<std::uint32_t, utils::Digest> staged_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_PieceStore_h
