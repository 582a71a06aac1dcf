#include "TicketFold.h"

namespace waxwingyoke::weights {

namespace {

// Bounds the memory. A publication is no longer being downloaded once this many
// later ones exist.
constexpr std::size_t kMaxPublications = 32;

} // namespace

void
TicketFold::Apply(const std::string& aId, const schema::OriginTicket& aTicket)
{
  if (!known_.insert(aId).second) {
    return;
  }
  Publication publication{ aTicket.version(), aTicket.revision() };
  auto [entry, isNew] = publications_.try_emplace(publication);
  auto& counts = entry->second;
  counts.ids.insert(aId);
  auto& extentCount = counts.byExtent[aTicket.extent()];
  bool hasBudget = counts.granted < kMaxOriginCopies * aTicket.extents();
  if (hasBudget && (extentCount < kMaxOriginCopies || aTicket.urgent())) {
    ++extentCount;
    ++counts.granted;
    granted_.insert(aId);
  }
  if (isNew) {
    order_.push_back(publication);
    EvictOldest();
  }
}

void
TicketFold::EvictOldest()
{
  if (order_.size() <= kMaxPublications) {
    return;
  }
  auto oldest = publications_.find(order_.front());
  for (const auto& id : oldest->second.ids) {
    known_.erase(id);
    granted_.erase(id);
  }
  publications_.erase(oldest);
  order_.pop_front();
}

} // namespace waxwingyoke::weights
