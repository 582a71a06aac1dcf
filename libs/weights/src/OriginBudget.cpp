#include "OriginBudget.h"

#include <utility>

#include <telemetry/Metrics.h>
#include <utils/Hash.h>

namespace waxwingyoke::weights {

OriginBudget::OriginBudget(RolloutLog& aLog, TicketOwner aOwner)
  : log_(aLog)
  , owner_(std::move(aOwner))
{
}

bool
OriginBudget::Admit(std::size_t aChunk, std::size_t aExtent)
{
  if (tries_[aChunk] < extents_[aExtent].tickets) {
    ++tries_[aChunk];
    return true;
  }
  if (extents_[aExtent].refused) {
    return false;
  }
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto& ticket = *record.mutable_origin_ticket();
  ticket.set_version(owner_.version);
  ticket.set_revision(owner_.revision);
  ticket.set_extent(static_cast<std::uint32_t>(aExtent));
  ticket.set_region(owner_.region);
  ticket.set_vm(owner_.vm);
  ticket.set_incarnation(owner_.incarnation);
  utils::Error reason;
  if (!log_.Append(record, reason)) {
    return AdmitWithoutLog(aChunk);
  }
  bool granted = log_.GetTickets().IsGranted(record.id());
  auto& extent = extents_[aExtent];
  extent.tickets += granted ? 1 : 0;
  extent.refused = !granted;
  tries_[aChunk] += granted ? 1 : 0;
  return granted;
}

bool
OriginBudget::AdmitWithoutLog(std::size_t aChunk)
{
  static auto& sUnlogged =
    telemetry::Metrics::Get().GetCounter("origin_fetches_without_log_total");
  if (tries_[aChunk] > 0) {
    return false;
  }
  ++tries_[aChunk];
  sUnlogged.Add();
  return true;
}

bool
OriginBudget::IsSpent(std::size_t aExtent) const
{
  auto found = extents_.find(aExtent);
  return found != extents_.end() && found->second.refused;
}

} // namespace waxwingyoke::weights
