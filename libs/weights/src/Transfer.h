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
 * Downloads one version into ChunkStore: chunks that a side of the region holds
 * from there, all others from external sources. Its fibers run on the thread
 * that calls Start.
 */
class Transfer : public std::enable_shared_from_this<Transfer>
{
public:
  Transfer(ReplicatorContext aContext,
           RolloutLog& aLog,
           const utils::Digest& aVersion,
           std::uint64_t aRevision);

  void Start();

  /** Ends the fibers soon; fetched chunks stay in ChunkStore. */
  void Cancel() { swarm_->cancelled = true; }

  const utils::Digest& GetVersion() const { return swarm_->version; }

  schema::TransferProgress GetProgress() const;

  /** The last failure of a source; unset after a success. */
  const utils::Error& GetLastError() const { return swarm_->lastError; }

private:
  void Run();
  bool EnsureManifest();
  /** Logs, at intervals, that the manifest is still missing. */
  void ReportMissingManifest();
  bool FetchManifestFromAnyPeer();
  bool FetchManifestFrom(const net::Endpoint& aSource, bool aPeer);
  void RunWorker();
  bool FetchFromRegion();
  bool FetchFromExternalSource();
  /** aBytes receives the bytes read, also those of an incomplete chunk. */
  bool FetchChunk(const ExternalPick& aPick,
                  bool aLocalRegion,
                  std::size_t& aBytes,
                  utils::Error& aReason);
  /** Whether the source is the store or the origin, in this side's region. */
  bool IsServiceLocal(const ExternalPick& aPick) const;
  void RecordPeerResult(const std::string& aVm,
                        bool aComplete,
                        const utils::Error& aReason);

  const ReplicatorContext context_;
  std::shared_ptr<Swarm> swarm_;
  std::shared_ptr<Gossip> gossip_;
  OriginBudget budget_;
  ExternalSources externalSources_;
  Fetcher fetcher_;
  utils::Clock clock_;
  std::uint64_t manifestTries_ = 0;
  const utils::Millis startedAt_ = clock_.Now();
  utils::Millis manifestReportedAt_ = startedAt_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Transfer_h
