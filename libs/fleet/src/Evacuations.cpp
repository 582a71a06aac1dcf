#include "Evacuations.h"

#include <algorithm>

namespace waxwingyoke::fleet {

namespace {

using utils::Millis;

// Bounds the time that another process states, as it may be damaged.
constexpr std::int64_t kMaxKeptMs = 24 * 3600 * 1000;

} // namespace

void
Evacuations::BeginEpoch(Millis aKeptUntil)
{
  for (const auto& [dataCentre, offset] : evacuated_) {
    kept_.insert_or_assign(dataCentre, offset);
  }
  evacuated_.clear();
  end_ = 0;
  keptUntil_ = aKeptUntil;
}

// A removed key does not show, so that what was read replaces all. A read that
// ends before the state of another process is the older of both.
void
Evacuations::ApplyNewest(const std::vector<EvacuationRecord>& aRecords,
                         std::uint64_t aEnd)
{
  if (aEnd < end_) {
    return;
  }
  evacuated_.clear();
  end_ = 0;
  ApplyChanges(aRecords, aEnd);
}

void
Evacuations::ApplyChanges(const std::vector<EvacuationRecord>& aRecords,
                          std::uint64_t aEnd)
{
  for (const auto& record : aRecords) {
    if (record.offset < end_) {
      continue;
    }
    kept_.erase(record.dataCentre);
    if (record.isEnd) {
      evacuated_.erase(record.dataCentre);
    } else {
      evacuated_.insert_or_assign(record.dataCentre, record.offset);
    }
  }
  end_ = std::max(end_, aEnd);
}

void
Evacuations::ApplyState(const schema::EvacuationState& aState,
                        Millis aRequestedAt)
{
  if (aState.end() > end_) {
    evacuated_.clear();
    end_ = aState.end();
    for (const auto& row : aState.evacuated()) {
      if (!row.data_centre().empty()) {
        kept_.erase(row.data_centre());
        evacuated_.insert_or_assign(row.data_centre(), row.offset());
      }
    }
  }
  // The sender made its state after the request, so that the time does not grow
  // as processes pass it on and back.
  auto keptUntil =
    aRequestedAt +
    Millis(std::clamp(aState.kept_ms(), -kMaxKeptMs, kMaxKeptMs));
  if (aState.kept().empty() || keptUntil <= confirmedAt_) {
    return;
  }
  for (const auto& dataCentre : aState.kept()) {
    if (!dataCentre.empty() && !evacuated_.contains(dataCentre)) {
      kept_.try_emplace(dataCentre, 0);
    }
  }
  keptUntil_ = std::max(keptUntil_, keptUntil);
}

schema::EvacuationState
Evacuations::MakeState(Millis aNow) const
{
  schema::EvacuationState state;
  for (const auto& [dataCentre, offset] : evacuated_) {
    auto& row = *state.add_evacuated();
    row.set_data_centre(dataCentre);
    row.set_offset(offset);
  }
  state.set_end(end_);
  for (const auto& [dataCentre, offset] : kept_) {
    state.add_kept(dataCentre);
  }
  if (!kept_.empty()) {
    state.set_kept_ms((keptUntil_ - aNow).value);
  }
  return state;
}

void
Evacuations::Confirm(Millis aTime)
{
  confirmedAt_ = std::max(confirmedAt_, aTime);
  if (confirmedAt_ >= keptUntil_) {
    kept_.clear();
  }
}

std::map<std::string, std::uint64_t>
Evacuations::List() const
{
  auto all = evacuated_;
  all.insert(kept_.begin(), kept_.end());
  return all;
}

} // namespace waxwingyoke::fleet
