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
#include "PeerBook.h"
#include "Picker.h"
#include "RegionShare.h"

namespace waxwingyoke::weights {

/** What every part of a transfer works with; outlives all transfers. */
struct Services
{
  const schema::DaemonSettings& settings;
  membership::Node& node;
  net::HttpClient& http;
  rpc::RpcClient& rpc;
  ChunkStore& chunkStore;
  Offers& offers;
  net::Pacer& link;
  /** Holds fetches from other regions to regionShare. */
  net::Pacer& regionLink;
  RegionShare& regionShare;
};

/**
 * The state of one transfer. All its fibers run on one thread, so nothing
 * here is locked.
 */
struct Swarm
{
  utils::Digest version;
  /** Of the profile that asked for the version. */
  std::uint64_t revision = 0;
  /** Null until the manifest is here. */
  std::shared_ptr<const Content> content;
  PeerBook peers;
  /** Sides of this region with this one that are not leaving. */
  std::vector<std::string> regionVms;
  /** Chunks being fetched. */
  std::set<std::size_t> running;
  RateMeter rate;
  /** The same of chunks from outside the region. */
  RateMeter outsideRate;
  bool cancelled = false;
  /** The last reason why a source failed; unset after a success. */
  utils::Error lastError;

  /** The usual time of a chunk at the rate seen. */
  utils::Millis GetChunkTime() const;
};

/** Sides of the region, this one included, that do not hold all chunks. */
std::size_t
CountFetchers(const Swarm& aSwarm);

/** Takes the sides that the view lists into the swarm. */
void
SeeMembers(const Services& aServices, Swarm& aSwarm);

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Swarm_h
