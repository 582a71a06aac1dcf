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
constexpr std::size_t kAsksPerRound = 2;
// Other regions matter only where the origin fails.
constexpr std::uint64_t kRoundsPerRemoteAsk = 8;
constexpr int kMaxAsking = 6;
constexpr utils::Millis kAskTimeout(1500);

std::mt19937&
GetRandom()
{
  thread_local std::mt19937 tRandom(std::random_device{}());
  return tRandom;
}

} // namespace

Gossip::Gossip(Services aServices, std::shared_ptr<Swarm> aSwarm)
  : services_(aServices)
  , swarm_(std::move(aSwarm))
{
}

void
Gossip::Run()
{
  while (!swarm_->cancelled && !services_.chunkStore.IsWhole(swarm_->version)) {
    Round();
    net::Runtime::Sleep(
      std::clamp(swarm_->GetChunkTime() / 3, kMinInterval, kMaxInterval));
  }
  Publish();
}

void
Gossip::Round()
{
  auto now = utils::Clock().Now();
  SeeMembers(services_, *swarm_);
  for (const auto& offer :
       services_.offers.TakeHeard(swarm_->version.ToHex())) {
    swarm_->peers.Merge(offer, now);
  }
  services_.regionShare.NoteFetchers(CountFetchers(*swarm_));
  services_.regionLink.SetRate(services_.regionShare.GetRate());
  AskSome(true, kAsksPerRound);
  if (round_++ % kRoundsPerRemoteAsk == 0) {
    AskSome(false, 1);
  }
  Publish();
}

void
Gossip::AskSome(bool aOwnRegion, std::size_t aCount)
{
  const auto& region = services_.settings.node().region();
  std::vector<Peer> candidates;
  for (const auto& [vm, peer] : swarm_->peers.GetPeers()) {
    if ((peer.region == region) == aOwnRegion && !peer.held.IsFull()) {
      candidates.push_back(peer);
    }
  }
  std::vector<Peer> chosen;
  std::ranges::sample(candidates,
                      std::back_inserter(chosen),
                      std::ptrdiff_t(aCount),
                      GetRandom());
  for (const auto& peer : chosen) {
    if (asking_ < kMaxAsking) {
      ++asking_;
      net::Runtime::SpawnHere([self = shared_from_this(), peer] {
        self->Ask(peer);
        --self->asking_;
      });
    }
  }
}

void
Gossip::Ask(const Peer& aPeer)
{
  schema::OffersRequest request;
  request.set_version(swarm_->version.ToHex());
  *request.mutable_own() = services_.offers.MakeOwn(swarm_->version);
  schema::OffersReply reply;
  utils::Error reason;
  net::CallTimeouts timeouts{ kAskTimeout, kAskTimeout, kAskTimeout };
  if (!services_.rpc.Call(
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
Gossip::Publish()
{
  const auto& region = services_.settings.node().region();
  KnownOffers known;
  known.version = swarm_->version.ToHex();
  for (const auto& [vm, peer] : swarm_->peers.GetPeers()) {
    if (peer.region != region || peer.incarnation.empty()) {
      continue;
    }
    schema::PeerOffer offer;
    offer.set_vm(vm);
    offer.set_incarnation(peer.incarnation);
    offer.set_held(peer.held.GetBytes());
    offer.set_given_chunks(peer.given);
    known.offers.push_back(std::move(offer));
  }
  services_.offers.SetKnown(std::move(known));
}

} // namespace waxwingyoke::weights
