#ifndef waxwingyoke_weights_PeerBook_h
#define waxwingyoke_weights_PeerBook_h

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <net/Endpoint.h>
#include <schema/weights.pb.h>
#include <utils/Time.h>

#include "ChunkSet.h"

namespace waxwingyoke::weights {

/** What one side knows of another during a transfer. */
struct Peer
{
  std::string vm;
  std::string region;
  net::Endpoint endpoint;
  std::string incarnation;
  ChunkSet held;
  /** Chunks that it has given to others, as last heard. */
  std::uint64_t given = 0;
  /** Fetches from it that run now. */
  int fetches = 0;
  /** Failures since its last whole chunk. */
  int failures = 0;
  utils::Millis avoidUntil;
  /** When it was last seen to hold more, or first seen. */
  utils::Millis lastGrowth;
};

/** Why a fetch from a peer came to nothing. */
enum class PeerFault
{
  /** All its slots are taken. */
  Busy,
  /** It does not hold what it offered. */
  Missing,
  /** Unreachable, stalled or too slow. */
  Failed,
  /** It sent other bytes than the digest says. */
  Corrupt
};

/**
 * The other sides that may give chunks of one version: what they hold, and
 * which of them are left alone for how long. Pure of I/O; the time comes
 * with each call.
 */
class PeerBook
{
public:
  using Peers = std::map<std::string, Peer>;

  /** A side of the membership view, whether it was known before or not. */
  void See(const std::string& aVm,
           const std::string& aRegion,
           const net::Endpoint& aEndpoint,
           utils::Millis aNow);

  /** Forgets all peers that are not in aVms. */
  void KeepOnly(const std::vector<std::string>& aVms);

  /** From here on the version has that many chunks. */
  void SetChunkCount(std::size_t aCount);

  /** Takes in an offer, first or second hand; whether it was news. */
  bool Merge(const schema::PeerOffer& aOffer, utils::Millis aNow);

  /** The peer said that it holds everything. */
  void MarkWhole(const std::string& aVm, utils::Millis aNow);

  void BeginFetch(const std::string& aVm);
  void EndFetch(const std::string& aVm);
  void NoteChunk(const std::string& aVm);
  void NoteFault(const std::string& aVm, PeerFault aFault, utils::Millis aNow);

  const Peers& GetPeers() const { return peers_; }
  const Peer* Find(const std::string& aVm) const;

private:
  Peer* FindMutable(const std::string& aVm);

  Peers peers_;
  std::size_t chunkCount_ = 0;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_PeerBook_h
