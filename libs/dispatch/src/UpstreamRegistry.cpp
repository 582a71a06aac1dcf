#include <dispatch/UpstreamRegistry.h>

#include <algorithm>
#include <unordered_set>

#include <utils/Hash.h>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

// A side's report takes precedence over the directory's record up to this age.
// Sides repeat their reports four times within it.
constexpr Millis kMaxSideReportAge(3200);
// After a side's last report that its upstream accepts no work, the directory's
// record is not used for this long: the side restarts and proves the load
// within.
constexpr Millis kUnprovenTime(15000);
// Cost of another data centre, as a delay of the first event: its network
// latency counts twice, and its traffic is charged. Also the cost of a version
// other than the preferred one.
constexpr double kCrossingCostMs = 40;
// Requests sent to an engine beyond its slots: enough to fill a freed slot
// before its release reaches an entry. Not more, as entries cannot observe how
// long requests wait in the engine's queue.
constexpr std::uint32_t kQueuedPerEngine = 1;
// Assumed processing time of a request at an idle upstream of a plain service.
// With the service's objective it bounds the requests that are queued there.
constexpr double kPlainWorkMs = 60;
// Upstreams write their directory record about every second, so within this
// time the record shows the versions that they hold.
constexpr Millis kStaleTime(2500);
// The rest of the objective is left for the network latency to the caller.
constexpr double kObjectiveShare = 0.95;
// Largest cost of an upstream that an entry prefers least: about what one more
// request of another entry costs.
constexpr double kAffinityCostMs = 50;
// Incarnations whose announced exit is remembered, as a restored log may list
// them again. The oldest is forgotten first.
constexpr std::size_t kMaxLeft = 4096;

// Hash of the upstream and the entry in [0, 1): 0 is the entry's most preferred
// upstream.
double
GetAffinityDistance(const UpstreamState& aState, std::uint64_t aEntryHash)
{
  constexpr double kRange = 4294967296.0;
  auto mixed = utils::MixBits(aState.hash ^ aEntryHash);
  return static_cast<double>(mixed >> 32U) / kRange;
}

} // namespace

std::uint64_t
FindServedVersion(const UpstreamState& aState,
                  const PlacementQuery& aQuery,
                  Millis aNow)
{
  bool isFresh =
    aState.side && aNow - aState.sideReportedAt < kMaxSideReportAge;
  if (isFresh) {
    return aState.side->accepting ? aState.side->version : 0;
  }
  // The side fell silent before it had proven the weights that the directory
  // may state by now.
  if (aState.side && !aState.side->accepting &&
      aNow - aState.sideReportedAt < kUnprovenTime) {
    return 0;
  }
  return aState.record.FindCompleteVersion(aQuery.model, aQuery.layers);
}

bool
UpstreamRegistry::Serves(const UpstreamState& aState,
                         const PlacementQuery& aQuery,
                         Millis aNow) const
{
  if (aState.record.service != aQuery.service || aState.record.draining ||
      aState.leaving || aState.evacuated ||
      !IsAllowed(aQuery.regions, aState.region)) {
    return false;
  }
  if (aQuery.engine == nullptr) {
    return true;
  }
  auto version = FindServedVersion(aState, aQuery, aNow);
  return version > 0 && version >= aQuery.minVersion &&
         aNow >= aState.staleUntil;
}

// After a power failure the directory still lists the versions that upstreams
// held before it.
void
UpstreamRegistry::MarkStale(UpstreamState& aState,
                            const PlacementQuery& aQuery,
                            std::uint64_t aVersion,
                            Millis aNow) const
{
  // A newer version may have been reported while the request was in flight.
  if (FindServedVersion(aState, aQuery, aNow) == aVersion) {
    aState.staleUntil = aNow + kStaleTime;
  }
}

// Checks the rate limit last, as only a request that the upstream could serve
// counts as demand there.
bool
UpstreamRegistry::IsCandidate(UpstreamState& aState,
                              const PlacementQuery& aQuery,
                              Millis aNow) const
{
  return Serves(aState, aQuery, aNow) && aState.health.IsUsable(aNow) &&
         aNow >= aState.pausedUntil &&
         std::ranges::find(aQuery.excluded, aState.record.id) ==
           aQuery.excluded.end() &&
         (aQuery.onlyUpstream.empty() ||
          aQuery.onlyUpstream == aState.record.id) &&
         aState.rateLimit.MaySend(roster_, aNow);
}

bool
UpstreamRegistry::HasServingUpstream(const PlacementQuery& aQuery,
                                     Millis aNow) const
{
  return std::ranges::any_of(upstreams_, [&](const auto& aRow) {
    return Serves(*aRow.second, aQuery, aNow);
  });
}

std::optional<SendOpening>
UpstreamRegistry::FindOpening(const PlacementQuery& aQuery, Millis aNow) const
{
  std::optional<Millis> at;
  double ratePerSecond = 0;
  bool isAnyOnlyPaused = false;
  bool isForThisEntry = false;
  for (const auto& [id, state] : upstreams_) {
    if (!Serves(*state, aQuery, aNow)) {
      continue;
    }
    auto& limit = state->rateLimit;
    auto next = std::max(limit.FindNextSend(roster_, aNow), state->pausedUntil);
    if (next <= aNow) {
      return std::nullopt;
    }
    at = std::min(at.value_or(next), next);
    isAnyOnlyPaused = isAnyOnlyPaused || !limit.IsActive(aNow);
    isForThisEntry = isForThisEntry || limit.HasShare(roster_, aNow);
    ratePerSecond += limit.GetReturnRate(roster_, aNow);
  }
  if (!at) {
    return std::nullopt;
  }
  constexpr double kMsPerSecond = 1000;
  auto intervalMs = isAnyOnlyPaused ? 0 : kMsPerSecond / ratePerSecond;
  return SendOpening{ *at,
                      Millis(static_cast<std::int64_t>(intervalMs)),
                      isForThisEntry };
}

bool
UpstreamRegistry::TakeSend(UpstreamState& aState, Millis aNow) const
{
  return aState.rateLimit.TakeSend(roster_, aNow);
}

bool
UpstreamRegistry::HasRateLimits(Millis aNow) const
{
  return std::ranges::any_of(upstreams_, [aNow](const auto& aRow) {
    return aRow.second->rateLimit.IsActive(aNow);
  });
}

UpstreamPointer
UpstreamRegistry::ApplyRateLimit(const std::string& aEntry,
                                 const RateLimitReport& aReport,
                                 Millis aNow)
{
  auto row = byHash_.find(aReport.upstream);
  if (row == byHash_.end() ||
      row->second->record.startedMs != aReport.startedMs) {
    return nullptr;
  }
  auto& limit = row->second->rateLimit;
  limit.SetDemand(aEntry, aReport.demand, aNow);
  return limit.Apply(aReport.state, aNow) ? row->second : nullptr;
}

void
UpstreamRegistry::RecordLeave(UpstreamState& aState, Millis aNow)
{
  aState.leaving = true;
  aState.leaveObservedAt = aState.leaveObservedAt.value_or(aNow);
  RememberLeave(aState.record);
}

void
UpstreamRegistry::ApplyLeave(std::uint64_t aHash, std::int64_t aStartedMs)
{
  auto row = byHash_.find(aHash);
  if (row != byHash_.end() && row->second->record.startedMs == aStartedMs) {
    row->second->leaving = true;
    RememberLeave(row->second->record);
  }
}

std::vector<UpstreamPointer>
UpstreamRegistry::ListLeavingSince(Millis aSince) const
{
  std::vector<UpstreamPointer> found;
  for (const auto& [id, state] : upstreams_) {
    if (state->leaveObservedAt && *state->leaveObservedAt >= aSince) {
      found.push_back(state);
    }
  }
  return found;
}

void
UpstreamRegistry::RememberLeave(const platform::Upstream& aRecord)
{
  auto [row, isNew] = left_.insert_or_assign(aRecord.id, aRecord.startedMs);
  if (!isNew) {
    return;
  }
  leftOrder_.push_back(aRecord.id);
  if (leftOrder_.size() > kMaxLeft) {
    left_.erase(leftOrder_.front());
    leftOrder_.pop_front();
  }
}

bool
UpstreamRegistry::HasLeft(const platform::Upstream& aRecord) const
{
  auto row = left_.find(aRecord.id);
  return row != left_.end() && row->second == aRecord.startedMs;
}

void
UpstreamRegistry::SetEvacuated(std::set<std::string> aDataCentres)
{
  evacuated_ = std::move(aDataCentres);
  for (auto& [id, state] : upstreams_) {
    state->evacuated = evacuated_.contains(state->record.dataCentre);
  }
}

bool
UpstreamRegistry::IsEvacuated(const PlacementQuery& aQuery, Millis aNow) const
{
  bool isAnyEvacuated =
    !evacuated_.empty() && std::ranges::any_of(upstreams_, [&](auto& aRow) {
      return aRow.second->evacuated &&
             aRow.second->record.service == aQuery.service;
    });
  return isAnyEvacuated && !HasServingUpstream(aQuery, aNow);
}

void
UpstreamRegistry::SetInDoubt(const std::string& aId, bool aInDoubt)
{
  auto state = Find(aId);
  if (!state || state->inDoubt == aInDoubt) {
    return;
  }
  state->inDoubt = aInDoubt;
  inDoubtCount_ += aInDoubt ? 1 : -1;
}

// A single missing entry mostly belongs to an upstream that leaves. If half of
// a service is missing, the entries have expired with the log's outage, and the
// other half could not carry the load.
bool
UpstreamRegistry::NeedsThoseInDoubt(const PlacementQuery& aQuery,
                                    Millis aNow) const
{
  if (inDoubtCount_ == 0) {
    return false;
  }
  std::size_t serving = 0;
  std::size_t inDoubt = 0;
  for (const auto& [id, state] : upstreams_) {
    bool serves = Serves(*state, aQuery, aNow);
    serving += serves ? 1 : 0;
    inDoubt += serves && state->inDoubt ? 1 : 0;
  }
  return inDoubt * 2 >= serving;
}

Placement
UpstreamRegistry::MakePlacement(const UpstreamPointer& aState,
                                const PlacementQuery& aQuery,
                                Millis aNow) const
{
  Placement placement;
  placement.upstream = aState;
  auto use = aState->GetUse();
  if (aQuery.engine != nullptr) {
    bool isFresh =
      aState->side && aNow - aState->sideReportedAt < kMaxSideReportAge;
    EngineLoad load{ use.running,
                     use.unreadTokens,
                     isFresh ? aState->side->pace : 1.0 };
    placement.version = FindServedVersion(*aState, aQuery, aNow);
    placement.predictedMs =
      aQuery.engine->PredictFirstEventMs(load, aQuery.promptTokens);
  } else {
    double slots = std::max<std::uint32_t>(aState->record.slots, 1);
    double share = use.running / slots;
    // Processing slows down as slots fill, and requests beyond them queue.
    placement.predictedMs =
      kPlainWorkMs * (1 + share + std::max(share - 1, 0.0));
    // A failure costs a resend, or the answer.
    placement.predictedMs *= 1 + 2 * aState->health.GetFailedShare();
  }
  return placement;
}

// Whether one more request fits into the engine's slots and its short queue,
// and the arbiter leaves that slot to this entry.
bool
UpstreamRegistry::IsSlotAvailable(const UpstreamState& aState,
                                  const EngineModel& aEngine,
                                  Millis aNow) const
{
  auto capacity = aEngine.GetSlots() + kQueuedPerEngine;
  auto running = aState.GetUse().running;
  if (running >= capacity) {
    return false;
  }
  SlotView view{ aState.hash,
                 aState.record.dataCentre,
                 capacity - running,
                 aState.useChangedAt };
  return !arbiter_ || arbiter_->MayTakeSlot(view, aNow);
}

std::optional<Placement>
UpstreamRegistry::FindBest(const PlacementQuery& aQuery,
                           Millis aNow,
                           bool aMustMeetObjective) const
{
  std::optional<Placement> best;
  double bestCost = 0;
  auto limit = static_cast<double>(aQuery.timeLeft.value) * kObjectiveShare;
  // The bias is measured for the engine model only.
  limit -= aQuery.engine != nullptr ? aQuery.biasMs : 0;
  bool needsThoseInDoubt = NeedsThoseInDoubt(aQuery, aNow);
  for (const auto& [id, state] : upstreams_) {
    if (!IsCandidate(*state, aQuery, aNow) ||
        (state->inDoubt && !needsThoseInDoubt)) {
      continue;
    }
    if (aMustMeetObjective && aQuery.engine != nullptr &&
        !IsSlotAvailable(*state, *aQuery.engine, aNow)) {
      continue;
    }
    auto placement = MakePlacement(state, aQuery, aNow);
    if (aMustMeetObjective && placement.predictedMs > limit) {
      continue;
    }
    bool crossesDataCentre = state->record.dataCentre != aQuery.dataCentre;
    bool isOtherVersion = aQuery.preferredVersion > 0 &&
                          placement.version != aQuery.preferredVersion;
    double cost =
      placement.predictedMs + (crossesDataCentre ? kCrossingCostMs : 0) +
      (isOtherVersion ? kCrossingCostMs : 0) +
      kAffinityCostMs * GetAffinityDistance(*state, aQuery.entryHash);
    if (!best || cost < bestCost) {
      best = placement;
      bestCost = cost;
    }
  }
  return best;
}

std::optional<Placement>
UpstreamRegistry::FindPlacement(const PlacementQuery& aQuery, Millis aNow) const
{
  return FindBest(aQuery, aNow, true);
}

std::optional<Placement>
UpstreamRegistry::FindFallbackPlacement(const PlacementQuery& aQuery,
                                        Millis aNow) const
{
  return FindBest(aQuery, aNow, false);
}

void
UpstreamRegistry::Put(const platform::Upstream& aRecord)
{
  auto& state = upstreams_[aRecord.id];
  bool restarted = state && state->record.startedMs != aRecord.startedMs;
  if (!state || restarted) {
    inDoubtCount_ -= state && state->inDoubt ? 1 : 0;
    state = std::make_shared<UpstreamState>();
    state->hash = utils::StableHash(aRecord.id);
    byHash_[state->hash] = state;
  }
  if (state->record.endpoint != aRecord.endpoint) {
    state->health = {};
  }
  state->record = aRecord;
  state->region = FindRegion(aRecord.dataCentre);
  state->evacuated = evacuated_.contains(aRecord.dataCentre);
  state->rateLimit.SetUpstream(state->hash, aRecord.dataCentre);
  state->staleUntil = Millis(0);
  if (aRecord.draining) {
    RememberLeave(aRecord);
  }
  state->leaving = HasLeft(aRecord);
}

std::string
UpstreamRegistry::FindRegion(const std::string& aDataCentre) const
{
  auto row = regions_.find(aDataCentre);
  return row == regions_.end() ? std::string() : row->second;
}

void
UpstreamRegistry::SetRegions(std::map<std::string, std::string> aRegions)
{
  regions_ = std::move(aRegions);
  for (auto& [id, state] : upstreams_) {
    state->region = FindRegion(state->record.dataCentre);
  }
}

void
UpstreamRegistry::Remove(const std::string& aId)
{
  auto row = upstreams_.find(aId);
  if (row != upstreams_.end()) {
    SetInDoubt(aId, false);
    byHash_.erase(row->second->hash);
    upstreams_.erase(row);
  }
}

UpstreamPointer
UpstreamRegistry::Find(const std::string& aId) const
{
  auto row = upstreams_.find(aId);
  return row == upstreams_.end() ? nullptr : row->second;
}

std::vector<std::string>
UpstreamRegistry::ListIds() const
{
  std::vector<std::string> ids;
  std::ranges::transform(upstreams_,
                         std::back_inserter(ids),
                         [](const auto& aRow) { return aRow.first; });
  return ids;
}

void
UpstreamRegistry::ApplyEntryUse(const std::string& aEntry,
                                const std::vector<EntryUse>& aUses,
                                Millis aNow)
{
  std::unordered_set<std::uint64_t> named;
  for (const auto& use : aUses) {
    named.insert(use.upstream);
  }
  for (auto& [id, state] : upstreams_) {
    if (!named.contains(state->hash)) {
      state->SetEntryUse(aEntry, {}, aNow);
    }
  }
  ApplyEntryChanges(aEntry, aUses, aNow);
}

void
UpstreamRegistry::ApplyEntryChanges(const std::string& aEntry,
                                    const std::vector<EntryUse>& aUses,
                                    Millis aNow)
{
  for (const auto& change : aUses) {
    auto row = byHash_.find(change.upstream);
    if (row != byHash_.end()) {
      row->second->SetEntryUse(aEntry, change.use, aNow);
    }
  }
}

void
UpstreamRegistry::RemoveEntry(const std::string& aEntry, Millis aNow)
{
  ApplyEntryUse(aEntry, {}, aNow);
}

void
UpstreamRegistry::ApplySideReport(const std::string& aId,
                                  const SideReport& aReport,
                                  Millis aNow)
{
  auto state = Find(aId);
  if (state) {
    bool isChanged = !state->side || state->side->version != aReport.version ||
                     state->side->accepting != aReport.accepting;
    state->staleUntil = isChanged ? Millis(0) : state->staleUntil;
    state->side = aReport;
    state->sideReportedAt = aNow;
  }
}

} // namespace waxwingyoke::dispatch
