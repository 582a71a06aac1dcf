#include "OriginBudget.h"

#include <utility>

#include <telemetry/Metrics.h>
#include <utils/Hash.h>

namespace waxwingyoke::weights {

namespace {

// The log counts as unavailable once appends failed for this long.
constexpr utils::Millis kLogOutageTime(3000);
// The delay from a refused ticket to an urgent request for the same extent.
constexpr utils::Millis kUrgentRetryPause(2000);

} // namespace

OriginBudget::OriginBudget(RolloutLog& aLog, TicketOwner aOwner)
  : log_(aLog)
  , owner_(std::move(aOwner))
{
}

bool
OriginBudget::Admit(const OriginFetch& aFetch)
{
  auto& fetchCount = fetchCounts_[aFetch.chunk];
  auto& extent = extents_[aFetch.extent];
  if (fetchCount < extent.tickets) {
    ++fetchCount;
    return true;
  }
  if (extent.refused && clock_.Now() - extent.refusedAt < kUrgentRetryPause) {
    return false;
  }
  auto record = MakeTicket(aFetch);
  utils::Error reason;
  if (!log_.Append(record, reason)) {
    return AdmitWithoutLog(aFetch.chunk);
  }
  unavailableSince_.reset();
  bool granted = log_.GetTickets().IsGranted(record.id());
  extent.tickets += granted ? 1 : 0;
  extent.refused = !granted;
  extent.refusedAt = clock_.Now();
  fetchCount += granted ? 1 : 0;
  return granted;
}

void
OriginBudget::RefundFetch(std::size_t aChunk)
{
  --fetchCounts_[aChunk];
}

schema::LogRecord
OriginBudget::MakeTicket(const OriginFetch& aFetch) const
{
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto& ticket = *record.mutable_origin_ticket();
  ticket.set_version(owner_.version);
  ticket.set_revision(owner_.revision);
  ticket.set_extent(static_cast<std::uint32_t>(aFetch.extent));
  ticket.set_extents(static_cast<std::uint32_t>(aFetch.extents));
  ticket.set_urgent(IsExhausted(aFetch.extent));
  ticket.set_region(owner_.region);
  ticket.set_vm(owner_.vm);
  ticket.set_incarnation(owner_.incarnation);
  return record;
}

bool
OriginBudget::AdmitWithoutLog(std::size_t aChunk)
{
  static auto& sUnlogged =
    telemetry::Metrics::Get().GetCounter("origin_fetches_without_log_total");
  // An append that was refused by the log's rate limit succeeds soon; only an
  // outage lasts.
  auto now = clock_.Now();
  unavailableSince_ = unavailableSince_.value_or(now);
  if (now - *unavailableSince_ < kLogOutageTime || fetchCounts_[aChunk] > 0) {
    return false;
  }
  ++fetchCounts_[aChunk];
  sUnlogged.Add();
  return true;
}

bool
OriginBudget::IsExhausted(std::size_t aExtent) const
{
  auto found = extents_.find(aExtent);
  return found != extents_.end() && found->second.refused;
}

} // namespace waxwingyoke::weights
