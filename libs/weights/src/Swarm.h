#ifndef waxwingyoke_weights_Swarm_h
#define waxwingyoke_weights_Swarm_h

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <membership/Node.h>
#include <net/HttpClient.h>
#include <net/Pacer.h>
#include <rpc/RpcClient.h>
#include <schema/settings.pb.h>

#include "ChunkStore.h"
#include "Content.h"
#include "Fetcher.h"
#include "Offers.h"
#include "PeerRegistry.h"
#include "Picker.h"
#include "RegionShare.h"

namespace waxwingyoke::weights {

/** The services that all parts of a replicator share; outlives transfers. */
struct ReplicatorContext
{
  const schema::DaemonSettings& settings;
  membership::Node& node;
  net::HttpClient& http;
  rpc::RpcClient& rpc;
  ChunkStore& chunkStore;
  Offers& offers;
  net::Pacer& link;
  /** Limits fetches from other regions to the rate of regionShare. */
  net::Pacer& regionLink;
  RegionShare& regionShare;
};

/**
 * The state of the transfer of one version. All its fibers run on one thread,
 * so there is no lock.
 */
struct Swarm
{
  utils::Digest version;
  /** The revision of the profile that names the version. */
  std::uint64_t revision = 0;
  /** Null until the manifest is stored. */
  std::shared_ptr<const Content> content;
  PeerRegistry peers;
  /** This side and the sides of its region that are not leaving; sorted. */
  std::vector<std::string> regionVms;
  /** Chunks that are being fetched. */
  std::set<std::size_t> inFlight;
  /** The rate of chunks from sides of the region. */
  RateMeter rate;
  /** The rate of chunks from outside the region. */
  RateMeter externalRate;
  bool cancelled = false;
  /** The last failure of a source; unset after a success. */
  utils::Error lastError;

  /** The expected time to fetch an average chunk within the region. */
  utils::Millis GetExpectedChunkTime() const;
};

/** The number of sides of the region that lack chunks, this one included. */
std::size_t
CountFetchers(const Swarm& aSwarm);

/**
 * Updates the swarm's peers from the membership view: the other sides that this
 * VM's profile selects or that hold the complete version.
 */
void
UpdatePeersFromView(const ReplicatorContext& aContext, Swarm& aSwarm);

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Swarm_h
