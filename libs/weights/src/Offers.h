#ifndef waxwingyoke_weights_Offers_h
#define waxwingyoke_weights_Offers_h

#include <string>
#include <vector>

#include <boost/fiber/mutex.hpp>

#include <rpc/RpcServer.h>
#include <schema/weights.pb.h>
#include <utils/RcuCell.h>

#include "ChunkRoutes.h"
#include "ChunkStore.h"

namespace waxwingyoke::weights {

/** The offers of other sides that are relayed to sides that query this one. */
struct CollectedOffers
{
  std::string version;
  std::vector<schema::PeerOffer> offers;
};

/**
 * Serves the method weights.offers, and keeps the offers that the requests
 * carry until the transfer takes them. Callable from any thread.
 */
class Offers
{
public:
  Offers(std::string aVm,
         std::string aIncarnation,
         const ChunkStore& aChunkStore,
         const ChunkRoutes& aRoutes);

  void AddMethods(rpc::RpcServer& aServer);

  /** This side's own offer; without an incarnation if this side has no
   * manifest of the version. */
  schema::PeerOffer MakeOwn(const utils::Digest& aVersion) const;

  /** Replaces the offers that replies relay. */
  void SetCollected(CollectedOffers aCollected);

  /**
   * The offers received in requests since the last call. Empty on the first
   * call with aVersion, which from then on selects the requests whose offers
   * are kept.
   */
  std::vector<schema::PeerOffer> TakeReceived(const std::string& aVersion);

private:
  bool HandleRequest(const schema::OffersRequest& aRequest,
                     schema::OffersReply& aReply,
                     utils::Error& aReason);

  const std::string vm_;
  const std::string incarnation_;
  const ChunkStore& chunkStore_;
  const ChunkRoutes& routes_;
  utils::RcuCell<CollectedOffers> collected_;
  boost::fibers::mutex mutex_;
  std::string receivedVersion_;
  std::vector<schema::PeerOffer> received_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Offers_h
