#include "Offers.h"

#include <mutex>
#include <utility>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

// Offers beyond this are dropped; the senders query again.
constexpr std::size_t kMaxReceived = 1024;

} // namespace

Offers::Offers(std::string aVm,
               std::string aIncarnation,
               const ChunkStore& aChunkStore,
               const ChunkRoutes& aRoutes)
  : vm_(std::move(aVm))
  , incarnation_(std::move(aIncarnation))
  , chunkStore_(aChunkStore)
  , routes_(aRoutes)
{
}

void
Offers::AddMethods(rpc::RpcServer& aServer)
{
  aServer.Add<schema::OffersRequest, schema::OffersReply>(
    "weights.offers",
    [this](const auto& aRequest, auto& aReply, auto& aReason) {
      return HandleRequest(aRequest, aReply, aReason);
    });
}

schema::PeerOffer
Offers::MakeOwn(const utils::Digest& aVersion) const
{
  schema::PeerOffer offer;
  offer.set_vm(vm_);
  if (auto held = chunkStore_.FindHeldChunks(aVersion)) {
    offer.set_incarnation(incarnation_);
    offer.set_held(held->GetBytes());
    offer.set_given_chunks(routes_.GetUploadedChunkCount());
  }
  return offer;
}

void
Offers::SetCollected(CollectedOffers aCollected)
{
  collected_.Set(
    std::make_shared<const CollectedOffers>(std::move(aCollected)));
}

std::vector<schema::PeerOffer>
Offers::TakeReceived(const std::string& aVersion)
{
  std::scoped_lock lock(mutex_);
  auto received = std::exchange(received_, {});
  bool same = std::exchange(receivedVersion_, aVersion) == aVersion;
  return same ? received : std::vector<schema::PeerOffer>();
}

bool
Offers::HandleRequest(const schema::OffersRequest& aRequest,
                      schema::OffersReply& aReply,
                      utils::Error& aReason)
{
  auto version = utils::Digest::Parse(aRequest.version());
  if (!version) {
    aReason.Set(ErrorKind::BadRequest, "the requested version is not a digest");
    return false;
  }
  *aReply.mutable_own() = MakeOwn(*version);
  aReply.set_known(!aReply.own().incarnation().empty());
  auto collected = collected_.Get();
  if (aReply.known() && collected->version == aRequest.version()) {
    for (const auto& offer : collected->offers) {
      *aReply.add_others() = offer;
    }
  }
  if (!aRequest.own().incarnation().empty()) {
    std::scoped_lock lock(mutex_);
    if (receivedVersion_ == aRequest.version() &&
        received_.size() < kMaxReceived) {
      received_.push_back(aRequest.own());
    }
  }
  return true;
}

} // namespace waxwingyoke::weights
