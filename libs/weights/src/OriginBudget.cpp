#include "OriginBudget.h"

#include <utility>

#include <telemetry/Metrics.h>
#include <utils/Hash.h>

namespace waxwingyoke::weights {

namespace {

// The log counts as out after this.
constexpr utils::Millis kOutage(3000);
// Between a refusal and an urgent request for the same extent.
constexpr utils::Millis kUrgentPause(2000);

} // namespace

OriginBudget::OriginBudget(RolloutLog& aLog, TicketOwner aOwner)
  : log_(aLog)
  , owner_(std::move(aOwner))
{
}

bool
OriginBudget::Admit(const OriginTry& aTry)
{
  auto& tries = tries_[aTry.chunk];
  auto& extent = extents_[aTry.extent];
  if (tries < extent.tickets) {
    ++tries;
    return true;
  }
  if (extent.refused && clock_.Now() - extent.refusedAt < kUrgentPause) {
    return false;
  }
  auto record = MakeTicket(aTry);
  utils::Error reason;
  if (!log_.Append(record, reason)) {
    return AdmitWithoutLog(aTry.chunk);
  }
  unavailableSince_.reset();
  bool granted = log_.GetTickets().IsGranted(record.id());
  extent.tickets += granted ? 1 : 0;
  extent.refused = !granted;
  extent.refusedAt = clock_.Now();
  tries += granted ? 1 : 0;
  return granted;
}

void
OriginBudget::TakeBack(std::size_t aChunk)
{
  --tries_[aChunk];
}

schema::LogRecord
OriginBudget::MakeTicket(const OriginTry& aTry) const
{
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto& ticket = *record.mutable_origin_ticket();
  ticket.set_version(owner_.version);
  ticket.set_revision(owner_.revision);
  ticket.set_extent(static_cast<std::uint32_t>(aTry.extent));
  ticket.set_extents(static_cast<std::uint32_t>(aTry.extents));
  ticket.set_urgent(IsSpent(aTry.extent));
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
  // A refusal for the log's rate passes soon; an outage does not.
  auto now = clock_.Now();
  unavailableSince_ = unavailableSince_.value_or(now);
  if (now - *unavailableSince_ < kOutage || tries_[aChunk] > 0) {
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
