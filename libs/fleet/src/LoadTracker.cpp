#include "LoadTracker.h"

#include <algorithm>

namespace waxwingyoke::fleet {

using utils::Millis;

bool
HoldsPartOf(const platform::UpstreamReport& aReport,
            std::uint64_t aVersion,
            const platform::LayerRange& aRange)
{
  return std::ranges::any_of(
    aReport.held, [&](const platform::HeldLayers& aHeld) {
      return aHeld.version == aVersion && aHeld.first < aRange.end &&
             aHeld.end > aRange.first;
    });
}

// A report without the start of the incarnation still shows a new one by its
// smaller number of orders.
bool
LoadTracker::IsNewIncarnation(const platform::UpstreamReport& aReport) const
{
  return aReport.startedMs != startedMs_ || aReport.orders < orders_;
}

void
LoadTracker::StartAnew(const platform::UpstreamReport& aReport,
                       std::uint64_t aProvenOrders,
                       Millis aSentAt)
{
  hasReport_ = true;
  startedMs_ = aReport.startedMs;
  orders_ = aReport.orders;
  provenOrders_ = aProvenOrders;
  reportedAt_ = aSentAt;
  fewerReportedAt_ = aSentAt;
  unprovenSince_ = aSentAt;
  isRefuted_ = false;
  isInherited_ = true;
  last_.reset();
  open_.reset();
}

void
LoadTracker::ApplyReport(const platform::UpstreamReport& aReport,
                         Millis aSentAt)
{
  if (!hasReport_) {
    // The process before this one proved what it loaded before it reported it
    // to the entries; it may have ended before it could prove the last load.
    auto unproven =
      aReport.busy ? std::min<std::uint64_t>(aReport.orders, 1) : 0;
    StartAnew(aReport, aReport.orders - unproven, aSentAt);
    return;
  }
  if (IsNewIncarnation(aReport)) {
    // It holds nothing until it has accepted an order, which may have been at
    // any time since the report before.
    auto before = reportedAt_;
    StartAnew(aReport, 0, aSentAt);
    fewerReportedAt_ = before;
    unprovenSince_ = IsProven() ? aSentAt : before;
    return;
  }
  if (aReport.orders < provenOrders_ && aSentAt > provenAt_) {
    // The answer that proved the load was to another call.
    provenOrders_ = aReport.orders;
    open_ = last_;
  }
  if (aReport.orders > orders_) {
    fewerReportedAt_ = reportedAt_;
  }
  orders_ = aReport.orders;
  reportedAt_ = aSentAt;
  if (IsProven()) {
    unprovenSince_ = aSentAt;
  }
  if (open_ && orders_ > open_->expectedOrders) {
    open_.reset();
  }
}

void
LoadTracker::RecordSent(const SentOrder& aOrder)
{
  last_ = aOrder;
}

// Of several orders that expect the same number of accepted ones, the upstream
// accepts one: each ends the others.
void
LoadTracker::RecordAnswer(const std::optional<platform::OrderResult>& aResult,
                          Millis aNow)
{
  if (!last_) {
    return;
  }
  if (!aResult) {
    bool isAccepted = orders_ > last_->expectedOrders;
    open_ = isAccepted ? std::nullopt : last_;
    return;
  }
  if (*aResult != platform::OrderResult::Begun) {
    return;
  }
  // Unless the answer proves it, the pieces are needed for a check.
  open_ = orders_ > last_->expectedOrders ? std::nullopt : last_;
  bool isBasedOnProof =
    last_->replacesAll || last_->expectedOrders == provenOrders_;
  if (!isBasedOnProof) {
    return;
  }
  // Only this load is left to prove.
  isRefuted_ = false;
  unprovenSince_ =
    orders_ > last_->expectedOrders ? fewerReportedAt_ : reportedAt_;
  bool isRecent = aNow - last_->checkedAt <= platform::kDamageDetectionTime;
  if (isRecent && !last_->mayBeOverwritten) {
    provenOrders_ = last_->expectedOrders + 1;
    provenAt_ = aNow;
    isInherited_ = false;
    open_.reset();
  }
}

LoadCheck
LoadTracker::GetAcceptance() const
{
  LoadCheck check;
  check.startedMs = startedMs_;
  check.orders = orders_;
  return check;
}

// What is whole now and was not written since was whole at the acceptance.
void
LoadTracker::RecordCheck(const LoadCheck& aCheck)
{
  if (aCheck.startedMs != startedMs_ || aCheck.orders != orders_) {
    return;
  }
  bool isWritten = aCheck.lastWriteAt && *aCheck.lastWriteAt >= unprovenSince_;
  if (aCheck.isWhole && !isWritten) {
    provenOrders_ = orders_;
    isRefuted_ = false;
    isInherited_ = false;
  } else {
    isRefuted_ = true;
  }
}

void
LoadTracker::Refute()
{
  if (orders_ > 0) {
    provenOrders_ = std::min(provenOrders_, orders_ - 1);
    isRefuted_ = true;
  }
}

std::optional<std::uint64_t>
LoadTracker::GetOpenVersion() const
{
  return open_ ? std::optional(open_->version) : std::nullopt;
}

platform::LayerRange
ChooseLayers(const platform::UpstreamReport& aReport,
             std::uint64_t aVersion,
             std::uint32_t aLayers,
             bool aIsProven)
{
  const platform::LayerRange all{ 0, aLayers };
  const platform::LayerRange lower{ 0, aLayers / 2 };
  const platform::LayerRange upper{ aLayers / 2, aLayers };
  bool hasLower = HoldsPartOf(aReport, aVersion, lower);
  bool hasUpper = HoldsPartOf(aReport, aVersion, upper);
  bool isDivisible = aLayers > 1;
  if (aIsProven || !isDivisible || (!hasLower && !hasUpper)) {
    return all;
  }
  return hasUpper ? lower : upper;
}

} // namespace waxwingyoke::fleet
