#ifndef waxwingyoke_weights_Transfer_h
#define waxwingyoke_weights_Transfer_h

#include <memory>

#include <schema/weights.pb.h>

#include "ExternalSources.h"
#include "Gossip.h"
#include "OriginBudget.h"
#include "Swarm.h"

namespace waxwingyoke::weights {

/**
 * Brings one version into ChunkStore, from the sides of the region, and what
 * none of them holds from outside. Its fibers run on the thread of Start.
 */
class Transfer : public std::enable_shared_from_this<Transfer>
{
public:
  Transfer(Services aServices,
           RolloutLog& aLog,
           const utils::Digest& aVersion,
           std::uint64_t aRevision);

  void Start();

  /** Ends the fibers soon; what was fetched stays in ChunkStore. */
  void Cancel() { swarm_->cancelled = true; }

  const utils::Digest& GetVersion() const { return swarm_->version; }

  schema::TransferProgress GetProgress() const;

  /** The last reason of a source; unset while all goes well. */
  const utils::Error& GetLastError() const { return swarm_->lastError; }

private:
  void Run();
  bool FindManifest();
  bool FetchManifestFromAnyPeer();
  bool FetchManifestFrom(const net::Endpoint& aSource, bool aPeer);
  void Work();
  bool FetchFromRegion();
  bool FetchFromOutside();
  /** aBytes: how many came, whole or not. */
  bool FetchChunk(const ExternalPick& aPick,
                  bool aOwnRegion,
                  std::size_t& aBytes,
                  utils::Error& aReason);
  /** Whether the pick is the store or the origin, in this region. */
  bool IsServiceNear(const ExternalPick& aPick) const;
  void NotePeer(const std::string& aVm,
                bool aWhole,
                const utils::Error& aReason);

  const Services services_;
  std::shared_ptr<Swarm> swarm_;
  std::shared_ptr<Gossip> gossip_;
  OriginBudget budget_;
  ExternalSources outside_;
  Fetcher fetcher_;
  utils::Clock clock_;
  std::uint64_t manifestTries_ = 0;
  const utils::Millis startedAt_ = clock_.Now();
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Transfer_h
