#include "Gossip.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include <net/Runtime.h>

namespace waxwingyoke::weights {

namespace {

constexpr utils::Millis kMinInterval(100);
constexpr utils::Millis kMaxInterval(1000);
constexpr std::size_t kQueriesPerRound = 2;
// Offers of other regions are needed only where the store and the origin fail.
constexpr std::uint64_t kRoundsPerRemoteQuery = 8;
constexpr int kMaxActiveQueries = 6;
constexpr utils::Millis kQueryTimeout(1500);

std::mt19937&
GetRandom()
{
  thread_local std::mt19937 tRandom(std::random_device{}());
  return tRandom;
}

} // namespace

Gossip::Gossip(ReplicatorContext aContext, std::shared_ptr<Swarm> aSwarm)
  : context_(aContext)
  , swarm_(std::move(aSwarm))
{
}

void
Gossip::Run()
{
  while (!swarm_->cancelled &&
         !context_.chunkStore.IsComplete(swarm_->version)) {
    RunRound();
    net::Runtime::Sleep(std::clamp(
      swarm_->GetExpectedChunkTime() / 3, kMinInterval, kMaxInterval));
  }
  PublishOffers();
}

void
Gossip::RunRound()
{
  auto now = utils::Clock().Now();
  UpdatePeersFromView(context_, *swarm_);
  for (const auto& offer :
       context_.offers.TakeReceived(swarm_->version.ToHex())) {
    swarm_->peers.Merge(offer, now);
  }
  context_.regionShare.SetFetcherCount(CountFetchers(*swarm_));
  context_.regionLink.SetRate(context_.regionShare.GetRate());
  QueryPeers(true, kQueriesPerRound);
  if (round_++ % kRoundsPerRemoteQuery == 0) {
    QueryPeers(false, 1);
  }
  PublishOffers();
}

void
Gossip::QueryPeers(bool aLocalRegion, std::size_t aCount)
{
  const auto& region = context_.settings.node().region();
  std::vector<Peer> candidates;
  for (const auto& [vm, peer] : swarm_->peers.GetPeers()) {
    if ((peer.region == region) == aLocalRegion && !peer.held.IsFull()) {
      candidates.push_back(peer);
    }
  }
  std::vector<Peer> chosen;
  std::ranges::sample(candidates,
                      std::back_inserter(chosen),
                      std::ptrdiff_t(aCount),
                      GetRandom());
  for (const auto& peer : chosen) {
    if (activeQueries_ < kMaxActiveQueries) {
      ++activeQueries_;
      net::Runtime::SpawnHere([self = shared_from_this(), peer] {
        self->QueryPeer(peer);
        --self->activeQueries_;
      });
    }
  }
}

void
Gossip::QueryPeer(const Peer& aPeer)
{
  schema::OffersRequest request;
  request.set_version(swarm_->version.ToHex());
  *request.mutable_own() = context_.offers.MakeOwn(swarm_->version);
  schema::OffersReply reply;
  utils::Error reason;
  net::CallTimeouts timeouts{ kQueryTimeout, kQueryTimeout, kQueryTimeout };
  if (!context_.rpc.Call(
        aPeer.endpoint, "weights.offers", request, reply, timeouts, reason)) {
    return;
  }
  auto now = utils::Clock().Now();
  swarm_->peers.Merge(reply.own(), now);
  for (const auto& offer : reply.others()) {
    swarm_->peers.Merge(offer, now);
  }
}

void
Gossip::PublishOffers()
{
  const auto& region = context_.settings.node().region();
  CollectedOffers collected;
  collected.version = swarm_->version.ToHex();
  for (const auto& [vm, peer] : swarm_->peers.GetPeers()) {
    if (peer.region != region || peer.incarnation.empty()) {
      continue;
    }
    schema::PeerOffer offer;
    offer.set_vm(vm);
    offer.set_incarnation(peer.incarnation);
    offer.set_held(peer.held.GetBytes());
    offer.set_given_chunks(peer.uploadedChunks);
    collected.offers.push_back(std::move(offer));
  }
  context_.offers.SetCollected(std::move(collected));
}

} // namespace waxwingyoke::weights
