#include <dispatch/UpstreamBook.h>

#include <algorithm>
#include <unordered_set>

#include <utils/Hash.h>

namespace waxwingyoke::dispatch {

namespace {

using utils::Millis;

// A side's word goes before the directory's while it is fresh: it repeats
// itself four times in this time.
constexpr Millis kSideReportAge(3200);
// Another data centre adds its delay twice and its bytes are charged; this
// many ms of a later first event are taken for that.
constexpr double kCrossingMs = 40;
// Requests beyond an engine's slots: enough that a slot which is freed is
// taken before an entry hears of it, and no more, as they wait unseen.
constexpr std::uint32_t kEngineQueue = 1;
// A plain service's work time until the book learns better; its objective
// bounds the queue.
constexpr double kPlainWorkMs = 60;
// An upstream writes to the directory every second or so, at the latest then
// it shows what it holds.
constexpr Millis kDoubtTime(2500);
// Room for the way back to the caller.
constexpr double kObjectiveShare = 0.95;
// An entry prefers its own upstreams by up to this: what one more request of
// another entry costs there.
constexpr double kAffinityMs = 50;

// From 0 for the upstream that the entry likes best, below 1.
double
GetAversion(const UpstreamState& aState, std::uint64_t aEntryHash)
{
  constexpr double kRange = 4294967296.0;
  auto mixed = utils::MixBits(aState.hash ^ aEntryHash);
  return static_cast<double>(mixed >> 32U) / kRange;
}

} // namespace

UseCount
UpstreamState::GetUse() const
{
  return { own.running + othersSum.running,
           own.unreadTokens + othersSum.unreadTokens };
}

void
UpstreamState::SetOther(const std::string& aEntry,
                        const UseCount& aUse,
                        Millis aNow)
{
  auto row = others.find(aEntry);
  if (row == others.end()) {
    if (aUse.running == 0) {
      return;
    }
    row = others.try_emplace(aEntry).first;
  }
  if (aUse.running != row->second.running) {
    useChangedAt = aNow;
  }
  othersSum.running += aUse.running - row->second.running;
  othersSum.unreadTokens += aUse.unreadTokens - row->second.unreadTokens;
  row->second = aUse;
  if (aUse.running == 0) {
    othersSum.unreadTokens -= aUse.unreadTokens;
    others.erase(row);
  }
}

std::uint64_t
FindServedVersion(const UpstreamState& aState,
                  const PlaceQuery& aQuery,
                  Millis aNow)
{
  bool fresh = aState.side && aNow - aState.sideHeardAt < kSideReportAge;
  if (fresh) {
    return aState.side->accepting ? aState.side->version : 0;
  }
  return aState.record.FindCompleteVersion(aQuery.model, aQuery.layers);
}

// Whether it fails at times does not matter here.
bool
UpstreamBook::Serves(const UpstreamState& aState,
                     const PlaceQuery& aQuery,
                     Millis aNow) const
{
  if (aState.record.service != aQuery.service || aState.record.draining) {
    return false;
  }
  if (aQuery.engine == nullptr) {
    return true;
  }
  auto version = FindServedVersion(aState, aQuery, aNow);
  return version > 0 && version >= aQuery.minVersion &&
         aNow >= aState.doubtedUntil;
}

// After a loss of power the directory shows what upstreams held before.
void
UpstreamBook::Doubt(UpstreamState& aState,
                    const PlaceQuery& aQuery,
                    std::uint64_t aVersion,
                    Millis aNow) const
{
  // News may have come while the request was on its way.
  if (FindServedVersion(aState, aQuery, aNow) == aVersion) {
    aState.doubtedUntil = aNow + kDoubtTime;
  }
}

bool
UpstreamBook::IsCandidate(const UpstreamState& aState,
                          const PlaceQuery& aQuery,
                          Millis aNow) const
{
  return Serves(aState, aQuery, aNow) && aState.health.IsUsable(aNow) &&
         std::ranges::find(aQuery.excluded, aState.record.id) ==
           aQuery.excluded.end();
}

bool
UpstreamBook::HasProspect(const PlaceQuery& aQuery, Millis aNow) const
{
  return std::ranges::any_of(upstreams_, [&](const auto& aRow) {
    return Serves(*aRow.second, aQuery, aNow);
  });
}

Place
UpstreamBook::Rate(const UpstreamPointer& aState,
                   const PlaceQuery& aQuery,
                   Millis aNow) const
{
  Place place;
  place.upstream = aState;
  auto use = aState->GetUse();
  if (aQuery.engine != nullptr) {
    bool fresh = aState->side && aNow - aState->sideHeardAt < kSideReportAge;
    EngineLoad load{ use.running,
                     use.unreadTokens,
                     fresh ? aState->side->pace : 1.0 };
    place.version = FindServedVersion(*aState, aQuery, aNow);
    place.predictedMs =
      aQuery.engine->PredictFirstEventMs(load, aQuery.promptTokens);
  } else {
    double slots = std::max<std::uint32_t>(aState->record.slots, 1);
    double share = use.running / slots;
    // Work slows down as slots fill, and waits for a turn beyond them.
    place.predictedMs = kPlainWorkMs * (1 + share + std::max(share - 1, 0.0));
    // Failures cost a second send or the answer.
    place.predictedMs *= 1 + 2 * aState->health.GetFailedShare();
  }
  return place;
}

// Whether one more request would not wait behind others there.
bool
UpstreamBook::HasPlace(const UpstreamState& aState,
                       const EngineModel& aEngine,
                       Millis aNow) const
{
  auto places = aEngine.GetSlots() + kEngineQueue;
  auto running = aState.GetUse().running;
  if (running >= places) {
    return false;
  }
  SlotView view{
    aState.hash, aState.record.dataCentre, places - running, aState.useChangedAt
  };
  return !turns_ || turns_->MayTake(view, aNow);
}

std::optional<Place>
UpstreamBook::FindBest(const PlaceQuery& aQuery,
                       Millis aNow,
                       bool aInTime) const
{
  std::optional<Place> best;
  double bestCost = 0;
  auto limit = static_cast<double>(aQuery.timeLeft.value) * kObjectiveShare;
  // Only the engine model has a bias.
  limit -= aQuery.engine != nullptr ? aQuery.biasMs : 0;
  for (const auto& [id, state] : upstreams_) {
    if (!IsCandidate(*state, aQuery, aNow)) {
      continue;
    }
    if (aInTime && aQuery.engine != nullptr &&
        !HasPlace(*state, *aQuery.engine, aNow)) {
      continue;
    }
    auto place = Rate(state, aQuery, aNow);
    if (aInTime && place.predictedMs > limit) {
      continue;
    }
    bool crosses = state->record.dataCentre != aQuery.dataCentre;
    bool other =
      aQuery.preferredVersion > 0 && place.version != aQuery.preferredVersion;
    double cost = place.predictedMs + (crosses ? kCrossingMs : 0) +
                  (other ? kCrossingMs : 0) +
                  kAffinityMs * GetAversion(*state, aQuery.entryHash);
    if (!best || cost < bestCost) {
      best = place;
      bestCost = cost;
    }
  }
  return best;
}

std::optional<Place>
UpstreamBook::FindPlace(const PlaceQuery& aQuery, Millis aNow) const
{
  return FindBest(aQuery, aNow, true);
}

std::optional<Place>
UpstreamBook::FindAnyPlace(const PlaceQuery& aQuery, Millis aNow) const
{
  return FindBest(aQuery, aNow, false);
}

void
UpstreamBook::Put(const platform::Upstream& aRecord)
{
  auto& state = upstreams_[aRecord.id];
  bool restarted = state && state->record.startedMs != aRecord.startedMs;
  if (!state || restarted) {
    state = std::make_shared<UpstreamState>();
    state->hash = utils::StableHash(aRecord.id);
    byHash_[state->hash] = state;
  }
  state->record = aRecord;
  state->doubtedUntil = Millis(0);
}

void
UpstreamBook::Remove(const std::string& aId)
{
  auto row = upstreams_.find(aId);
  if (row != upstreams_.end()) {
    byHash_.erase(row->second->hash);
    upstreams_.erase(row);
  }
}

UpstreamPointer
UpstreamBook::Find(const std::string& aId) const
{
  auto row = upstreams_.find(aId);
  return row == upstreams_.end() ? nullptr : row->second;
}

std::vector<std::string>
UpstreamBook::ListIds() const
{
  std::vector<std::string> ids;
  std::ranges::transform(upstreams_,
                         std::back_inserter(ids),
                         [](const auto& aRow) { return aRow.first; });
  return ids;
}

void
UpstreamBook::TakeEntryUse(const std::string& aEntry,
                           const std::vector<EntryUse>& aUses,
                           Millis aNow)
{
  std::unordered_set<std::uint64_t> named;
  for (const auto& use : aUses) {
    named.insert(use.upstream);
  }
  for (auto& [id, state] : upstreams_) {
    if (!named.contains(state->hash)) {
      state->SetOther(aEntry, {}, aNow);
    }
  }
  TakeEntryChanges(aEntry, aUses, aNow);
}

void
UpstreamBook::TakeEntryChanges(const std::string& aEntry,
                               const std::vector<EntryUse>& aUses,
                               Millis aNow)
{
  for (const auto& change : aUses) {
    auto row = byHash_.find(change.upstream);
    if (row != byHash_.end()) {
      row->second->SetOther(aEntry, change.use, aNow);
    }
  }
}

void
UpstreamBook::ForgetEntry(const std::string& aEntry, Millis aNow)
{
  TakeEntryUse(aEntry, {}, aNow);
}

void
UpstreamBook::TakeSideReport(const std::string& aId,
                             const SideReport& aReport,
                             Millis aNow)
{
  auto state = Find(aId);
  if (state) {
    bool isNews = !state->side || state->side->version != aReport.version ||
                  state->side->accepting != aReport.accepting;
    state->doubtedUntil = isNews ? Millis(0) : state->doubtedUntil;
    state->side = aReport;
    state->sideHeardAt = aNow;
  }
}

} // namespace waxwingyoke::dispatch
