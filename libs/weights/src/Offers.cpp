#include "Offers.h"

#include <mutex>
#include <utility>

namespace waxwingyoke::weights {

using utils::ErrorKind;

namespace {

// Askers come again, so what is over this is not missed.
constexpr std::size_t kMaxHeard = 1024;

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
      return Answer(aRequest, aReply, aReason);
    });
}

schema::PeerOffer
Offers::MakeOwn(const utils::Digest& aVersion) const
{
  schema::PeerOffer offer;
  offer.set_vm(vm_);
  if (auto held = chunkStore_.FindHeld(aVersion)) {
    offer.set_incarnation(incarnation_);
    offer.set_held(held->GetBytes());
    offer.set_given_chunks(routes_.GetGivenChunks());
  }
  return offer;
}

void
Offers::SetKnown(KnownOffers aKnown)
{
  known_.Set(std::make_shared<const KnownOffers>(std::move(aKnown)));
}

std::vector<schema::PeerOffer>
Offers::TakeHeard(const std::string& aVersion)
{
  std::scoped_lock lock(mutex_);
  auto heard = std::exchange(heard_, {});
  bool same = std::exchange(heardVersion_, aVersion) == aVersion;
  return same ? heard : std::vector<schema::PeerOffer>();
}

bool
Offers::Answer(const schema::OffersRequest& aRequest,
               schema::OffersReply& aReply,
               utils::Error& aReason)
{
  auto version = utils::Digest::Parse(aRequest.version());
  if (!version) {
    aReason.Set(ErrorKind::BadRequest, "not a version");
    return false;
  }
  *aReply.mutable_own() = MakeOwn(*version);
  aReply.set_known(!aReply.own().incarnation().empty());
  auto known = known_.Get();
  if (aReply.known() && known->version == aRequest.version()) {
    for (const auto& offer : known->offers) {
      *aReply.add_others() = offer;
    }
  }
  if (!aRequest.own().incarnation().empty()) {
    std::scoped_lock lock(mutex_);
    if (heardVersion_ == aRequest.version() && heard_.size() < kMaxHeard) {
      heard_.push_back(aRequest.own());
    }
  }
  return true;
}

} // namespace waxwingyoke::weights
