#ifndef waxwingyoke_weights_Gossip_h
#define waxwingyoke_weights_Gossip_h

#include <memory>

#include "Swarm.h"

namespace waxwingyoke::weights {

/**
 * Keeps a transfer's record of the chunks that other sides hold up to date:
 * queries a few sides at a time, whose replies also relay the offers of others.
 */
class Gossip : public std::enable_shared_from_this<Gossip>
{
public:
  Gossip(ReplicatorContext aContext, std::shared_ptr<Swarm> aSwarm);

  /** Queries until the swarm is cancelled or the version is complete here. */
  void Run();

private:
  void RunRound();
  void QueryPeers(bool aLocalRegion, std::size_t aCount);
  void QueryPeer(const Peer& aPeer);
  void PublishOffers();

  const ReplicatorContext context_;
  std::shared_ptr<Swarm> swarm_;
  std::uint64_t round_ = 0;
  int activeQueries_ = 0;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Gossip_h
