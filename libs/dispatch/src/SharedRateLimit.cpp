#include <dispatch/SharedRateLimit.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

constexpr double kMsPerSecond = 1000;
// Bounds of the rate that is applied, requests a second. An upstream that takes
// nothing still gets a request now and then, as only its answers tell when its
// limit ends.
constexpr double kMinRate = 0.2;
constexpr double kMaxRate = 1e6;
// An entry has demand for this long after a request that the upstream could
// have served.
constexpr Millis kDemandTime(2000);
// What another entry has stated of its demand holds for this long.
constexpr Millis kDemandValidity(3000);
// The others have received this entry's demand, and it theirs, this long after
// it began; see kRemoteNoticeInterval of the entry.
constexpr Millis kJoinTime(400);
// Time constant of the mean demand, and the shares of an owner's rate at which
// a demand becomes strong and weak.
constexpr Millis kDemandSpan(5000);
constexpr double kStrongShare = 1.25;
constexpr double kWeakShare = 0.5;
// After the end of a limit its rate is doubled in this interval, so that the
// entries don't all send at once what they withheld.
constexpr Millis kRampDoubling(500);
constexpr Millis kRampTime(3000);
constexpr double kRampMinRate = 1;
constexpr Millis kShareLifetime(20);
constexpr double kRoundingError = 1e-9;

// Requests that all entries together may send at once. Half of what the
// platform tolerates in four seconds beyond the rate, 2 * (rate + 2.5): while
// entries disagree on who is there, two sets of owners may do so.
std::size_t
GetBurst(double aRate)
{
  constexpr double kBurstWithoutRate = 2.5;
  return static_cast<std::size_t>(aRate + kBurstWithoutRate);
}

double
GetSeconds(Millis aTime)
{
  return static_cast<double>(aTime.value) / kMsPerSecond;
}

Millis
GetInterval(double aRate)
{
  return Millis(static_cast<std::int64_t>(std::ceil(kMsPerSecond / aRate)));
}

} // namespace

void
SharedRateLimit::SetUpstream(std::uint64_t aUpstream,
                             const std::string& aDataCentre)
{
  upstream_ = aUpstream;
  dataCentre_ = aDataCentre;
}

// A head may arrive long after a later one: only the answer to a request that
// was sent after the last change tells of another one.
bool
SharedRateLimit::Observe(std::optional<double> aRate,
                         Millis aSentAt,
                         Millis aNow)
{
  bool isOutdated = state_.order > 0 && aSentAt < stateChangedAt_;
  if (aRate == state_.rate || isOutdated) {
    return false;
  }
  Replace({ state_.order + 1, aRate }, aNow);
  return true;
}

// Entries that observe changes at the same time give them the same order: a
// limit then counts more than its end, and the lower limit more than the
// higher.
bool
SharedRateLimit::Apply(const RateLimitState& aState, Millis aNow)
{
  bool isSameOrder = aState.order == state_.order;
  bool isStricter =
    aState.rate && (!state_.rate || *aState.rate < *state_.rate);
  if (aState.order < state_.order || (isSameOrder && !isStricter)) {
    return false;
  }
  bool isChange = aState.rate != state_.rate;
  Replace(aState, isChange ? aNow : stateChangedAt_);
  return isChange;
}

void
SharedRateLimit::Replace(const RateLimitState& aState, Millis aNow)
{
  bool begins = aState.rate && !state_.rate;
  if (begins) {
    tokens_ = 0;
    tokensAt_ = aNow;
  }
  state_ = aState;
  lastRate_ = state_.rate.value_or(lastRate_);
  stateChangedAt_ = aNow;
  share_.reset();
}

void
SharedRateLimit::SetDemand(const std::string& aVm,
                           RateDemand aDemand,
                           Millis aNow)
{
  if (!demands_.contains(aVm)) {
    std::erase_if(demands_, [aNow](const auto& aRow) {
      return aNow - aRow.second.receivedAt >= kDemandValidity;
    });
  }
  demands_[aVm] = { aDemand, aNow };
}

// An entry that has stated none may not know the limit yet, and sends.
RateDemand
SharedRateLimit::FindDemand(const std::string& aVm, Millis aNow) const
{
  auto row = demands_.find(aVm);
  bool isStated =
    row != demands_.end() && aNow - row->second.receivedAt < kDemandValidity;
  return isStated ? row->second.demand : RateDemand::Strong;
}

double
SharedRateLimit::GetDemandRate(Millis aNow) const
{
  auto spans =
    demandAt_ ? GetSeconds(aNow - *demandAt_) / GetSeconds(kDemandSpan) : 0;
  return demandRate_ * std::exp(-spans);
}

void
SharedRateLimit::RecordDemand(Millis aNow)
{
  auto before = GetDemand(aNow);
  demandSince_ = before == RateDemand::None ? aNow : demandSince_;
  demandRate_ = GetDemandRate(aNow) + 1 / GetSeconds(kDemandSpan);
  demandAt_ = aNow;
  auto ownerRate = lastRate_ / static_cast<double>(GetBurst(lastRate_));
  auto threshold = isDemandStrong_ ? kWeakShare : kStrongShare;
  isDemandStrong_ = demandRate_ >= ownerRate * threshold;
  demandChangedAt_ = GetDemand(aNow) != before ? aNow : demandChangedAt_;
}

RateDemand
SharedRateLimit::GetDemand(Millis aNow) const
{
  if (!demandAt_ || aNow - *demandAt_ >= kDemandTime) {
    return RateDemand::None;
  }
  return isDemandStrong_ ? RateDemand::Strong : RateDemand::Weak;
}

std::optional<double>
SharedRateLimit::GetRate(Millis aNow) const
{
  if (state_.rate) {
    return std::clamp(*state_.rate, kMinRate, kMaxRate);
  }
  auto sinceEnd = aNow - stateChangedAt_;
  if (state_.order == 0 || sinceEnd >= kRampTime) {
    return std::nullopt;
  }
  auto doublings = GetSeconds(sinceEnd) / GetSeconds(kRampDoubling);
  return std::clamp(lastRate_, kRampMinRate, kMaxRate) * std::exp2(doublings);
}

bool
SharedRateLimit::IsActive(Millis aNow) const
{
  return GetRate(aNow).has_value();
}

Millis
SharedRateLimit::GetReportChangedAt() const
{
  return std::max(stateChangedAt_, demandChangedAt_);
}

// Entries with demand divide the rate; where there are more than may own a
// part, those that can use it go first. An idle one keeps a send for its next
// request only if it would be an owner whoever has demand; otherwise all idle
// entries together would keep too many. One whose demand has just begun counts
// as idle.
SharedRateLimit::Share
SharedRateLimit::ComputeShare(const EntryRoster& aRoster,
                              double aRate,
                              Millis aNow) const
{
  Share share;
  share.computedAt = aNow;
  auto ownDemand = GetDemand(aNow);
  bool isIdle =
    ownDemand == RateDemand::None || aNow - demandSince_ < kJoinTime;
  auto getOrder = [&](const CompetingEntry& aEntry, RateDemand aDemand) {
    return std::pair(!isIdle && aDemand != RateDemand::Strong,
                     aRoster.GetRank(aEntry, upstream_, dataCentre_));
  };
  auto ownOrder = getOrder(aRoster.GetOwn(), ownDemand);
  std::size_t before = 0;
  aRoster.VisitOthers(
    aNow, [&](const std::string& aVm, const CompetingEntry& aOther) {
      auto demand = FindDemand(aVm, aNow);
      if (!isIdle && demand == RateDemand::None) {
        return;
      }
      ++share.contenders;
      before += getOrder(aOther, demand) < ownOrder ? 1 : 0;
    });
  // Each owner has a part of the burst, one request at least.
  auto burst = GetBurst(aRate);
  auto owners = std::min(burst, share.contenders);
  if (before < owners && !aRoster.HasLeft()) {
    share.own = aRate / static_cast<double>(owners);
    share.burst = static_cast<double>(burst) / static_cast<double>(owners);
  }
  return share;
}

// What was saved up until now was so by the share of that time. An entry that
// has become an owner meanwhile starts with nothing.
void
SharedRateLimit::Refresh(const EntryRoster& aRoster, double aRate, Millis aNow)
{
  if (share_) {
    tokens_ += share_->own * GetSeconds(aNow - tokensAt_);
    tokens_ = std::min(tokens_, share_->burst);
  }
  tokensAt_ = aNow;
  // A share that was given up doesn't last even for that time.
  bool isGivenUp = share_ && share_->own > 0 && aRoster.HasLeft();
  if (!share_ || isGivenUp || aNow - share_->computedAt >= kShareLifetime) {
    share_ = ComputeShare(aRoster, aRate, aNow);
    tokens_ = std::min(tokens_, share_->burst);
  }
}

bool
SharedRateLimit::HasToken() const
{
  return tokens_ >= 1 - kRoundingError;
}

bool
SharedRateLimit::MaySend(const EntryRoster& aRoster, Millis aNow)
{
  auto rate = GetRate(aNow);
  if (!rate) {
    return true;
  }
  // First what an idle entry may have kept.
  Refresh(aRoster, *rate, aNow);
  RecordDemand(aNow);
  return HasToken();
}

bool
SharedRateLimit::TakeSend(const EntryRoster& aRoster, Millis aNow)
{
  bool maySend = MaySend(aRoster, aNow);
  if (maySend && IsActive(aNow)) {
    tokens_ = std::max(tokens_ - 1, 0.0);
  }
  return maySend;
}

Millis
SharedRateLimit::FindNextSend(const EntryRoster& aRoster, Millis aNow)
{
  auto rate = GetRate(aNow);
  if (!rate) {
    return aNow;
  }
  Refresh(aRoster, *rate, aNow);
  if (HasToken()) {
    return aNow;
  }
  bool isOwner = share_->own > 0;
  return aNow + GetInterval(isOwner ? share_->own / (1 - tokens_) : *rate);
}

bool
SharedRateLimit::HasShare(const EntryRoster& aRoster, Millis aNow)
{
  auto rate = GetRate(aNow);
  if (rate) {
    Refresh(aRoster, *rate, aNow);
  }
  return !rate || share_->own > 0;
}

double
SharedRateLimit::GetReturnRate(const EntryRoster& aRoster, Millis aNow)
{
  auto rate = GetRate(aNow);
  if (!rate) {
    return 0;
  }
  Refresh(aRoster, *rate, aNow);
  return share_->own > 0 ? share_->own
                         : *rate / static_cast<double>(share_->contenders);
}

} // namespace waxwingyoke::dispatch
