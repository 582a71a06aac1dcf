#ifndef waxwingyoke_weights_Gossip_h
#define waxwingyoke_weights_Gossip_h

#include <memory>

#include "Swarm.h"

namespace waxwingyoke::weights {

/**
 * Keeps a transfer's knowledge of the other sides' chunks fresh: asks a few
 * sides at a time, which tell it of the others too.
 */
class Gossip : public std::enable_shared_from_this<Gossip>
{
public:
  Gossip(Services aServices, std::shared_ptr<Swarm> aSwarm);

  /** Asks until the swarm is cancelled or this side holds everything. */
  void Run();

private:
  void Round();
  void AskSome(bool aOwnRegion, std::size_t aCount);
  void Ask(const Peer& aPeer);
  void Publish();

  const Services services_;
  std::shared_ptr<Swarm> swarm_;
  std::uint64_t round_ = 0;
  int asking_ = 0;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Gossip_h
