#ifndef waxwingyoke_weights_PeerRegistry_h
#define waxwingyoke_weights_PeerRegistry_h

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <net/Endpoint.h>
#include <schema/weights.pb.h>
#include <utils/Time.h>

#include "ChunkSet.h"

namespace waxwingyoke::weights {

/** The state that a transfer keeps of one other side. */
struct Peer
{
  std::string vm;
  std::string region;
  net::Endpoint endpoint;
  std::string incarnation;
  ChunkSet held;
  /** Chunks that it uploaded in all, as last reported or counted here. */
  std::uint64_t uploadedChunks = 0;
  /** Fetches from it that are running. */
  int activeFetches = 0;
  /** Failures since the last complete chunk from it. */
  int failures = 0;
  /** Nothing is fetched from it before this time. */
  utils::Millis avoidUntil;
  /** When it last reported new chunks; initially when it was first listed. */
  utils::Millis lastProgressAt;
};

/** Why a fetch from a peer failed. */
enum class PeerFault
{
  /** All its upload slots are in use. */
  Busy,
  /** It does not hold the chunk that it offered. */
  Missing,
  /** It was unreachable, stalled or too slow. */
  Failed,
  /** The bytes that it sent do not match the digest. */
  Corrupt
};

/**
 * Tracks the other sides that may supply chunks of one version: the chunks
 * they hold and how long each is avoided after a fault. Performs no I/O; the
 * caller passes the time. Not synchronised.
 */
class PeerRegistry
{
public:
  using Peers = std::map<std::string, Peer>;

  /** Adds a side of the membership view, or updates its endpoint. */
  void AddOrUpdate(const std::string& aVm,
                   const std::string& aRegion,
                   const net::Endpoint& aEndpoint,
                   utils::Millis aNow);

  /** Removes all peers that are not in aVms. */
  void KeepOnly(const std::vector<std::string>& aVms);

  /** Sets the version's number of chunks and clears what peers hold. */
  void SetChunkCount(std::size_t aCount);

  /**
   * Merges an offer, received from the peer itself or relayed by another. True
   * if it added chunks; false for a peer that is not registered.
   */
  bool Merge(const schema::PeerOffer& aOffer, utils::Millis aNow);

  /** Records that the peer reported the version as complete. */
  void MarkComplete(const std::string& aVm, utils::Millis aNow);

  void BeginFetch(const std::string& aVm);
  void EndFetch(const std::string& aVm);
  /** Resets the failures and counts an upload of the peer. */
  void RecordChunk(const std::string& aVm);

  /** Avoids the peer for a time that depends on the fault. */
  void RecordFault(const std::string& aVm,
                   PeerFault aFault,
                   utils::Millis aNow);

  const Peers& GetPeers() const { return peers_; }

  /** Null where the peer is not registered. */
  const Peer* Find(const std::string& aVm) const;

private:
  Peer* FindMutable(const std::string& aVm);

  Peers peers_;
  std::size_t chunkCount_ = 0;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_PeerRegistry_h
