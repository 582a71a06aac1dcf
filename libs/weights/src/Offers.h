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

/** What a transfer knows of other sides, as told to those that ask. */
struct KnownOffers
{
  std::string version;
  std::vector<schema::PeerOffer> offers;
};

/**
 * Answers weights.offers, and keeps what the askers said of themselves until
 * the transfer collects it. Safe from every thread.
 */
class Offers
{
public:
  Offers(std::string aVm,
         std::string aIncarnation,
         const ChunkStore& aChunkStore,
         const ChunkRoutes& aRoutes);

  void AddMethods(rpc::RpcServer& aServer);

  /** This side's own offer; without an incarnation if the version is not
   * known here. */
  schema::PeerOffer MakeOwn(const utils::Digest& aVersion) const;

  void SetKnown(KnownOffers aKnown);

  /** The offers of askers about that version since the last call. */
  std::vector<schema::PeerOffer> TakeHeard(const std::string& aVersion);

private:
  bool Answer(const schema::OffersRequest& aRequest,
              schema::OffersReply& aReply,
              utils::Error& aReason);

  const std::string vm_;
  const std::string incarnation_;
  const ChunkStore& chunkStore_;
  const ChunkRoutes& routes_;
  utils::RcuCell<KnownOffers> known_;
  boost::fibers::mutex mutex_;
  std::string heardVersion_;
  std::vector<schema::PeerOffer> heard_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Offers_h
