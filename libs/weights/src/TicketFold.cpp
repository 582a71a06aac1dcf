#include "TicketFold.h"

namespace waxwingyoke::weights {

namespace {

// Bounds the memory: no burst lasts over as many later publications.
constexpr std::size_t kMaxBursts = 32;

} // namespace

void
TicketFold::Apply(const std::string& aId, const schema::OriginTicket& aTicket)
{
  if (!known_.insert(aId).second) {
    return;
  }
  Burst burst{ aTicket.version(), aTicket.revision() };
  auto [entry, fresh] = bursts_.try_emplace(burst);
  auto& counts = entry->second;
  counts.ids.insert(aId);
  auto& ofExtent = counts.byExtent[aTicket.extent()];
  bool left = counts.granted < kMaxOriginCopies * aTicket.extents();
  if (left && (ofExtent < kMaxOriginCopies || aTicket.urgent())) {
    ++ofExtent;
    ++counts.granted;
    granted_.insert(aId);
  }
  if (fresh) {
    order_.push_back(burst);
    ForgetOldest();
  }
}

void
TicketFold::ForgetOldest()
{
  if (order_.size() <= kMaxBursts) {
    return;
  }
  auto oldest = bursts_.find(order_.front());
  for (const auto& id : oldest->second.ids) {
    known_.erase(id);
    granted_.erase(id);
  }
  bursts_.erase(oldest);
  order_.pop_front();
}

} // namespace waxwingyoke::weights
