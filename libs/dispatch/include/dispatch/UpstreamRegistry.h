#ifndef waxwingyoke_dispatch_UpstreamRegistry_h
#define waxwingyoke_dispatch_UpstreamRegistry_h

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <dispatch/EngineModel.h>
#include <dispatch/RegionRules.h>
#include <dispatch/SlotArbiter.h>
#include <dispatch/UpstreamState.h>
#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** Requirements of one request for its placement. */
struct PlacementQuery
{
  std::string service;
  /** Null for a plain service. */
  const EngineModel* engine = nullptr;
  std::string model;
  std::uint32_t layers = 0;
  /** The oldest acceptable version; 0: any complete one. */
  std::uint64_t minVersion = 0;
  /** Preferred over other versions while it has free slots; 0: none. */
  std::uint64_t preferredVersion = 0;
  std::uint32_t promptTokens = 0;
  std::string dataCentre;
  /** The first event is due within this time. */
  utils::Millis timeLeft;
  /** Added to the predicted time to first event, ms; see PredictionBias. */
  double biasMs = 0;
  /**
   * Stable hash of this entry's VM. Each entry prefers other upstreams, which
   * reduces collisions with requests of other entries not yet reported.
   */
  std::uint64_t entryHash = 0;
  /** Ids of the upstreams that were already tried. */
  std::vector<std::string> excluded;
  /** The only upstream that may serve it; empty: any. */
  std::string onlyUpstream;
  /** The only regions in which it may run; empty optional: any. */
  RegionSet regions;
};

/** The upstream chosen for a request. */
struct Placement
{
  UpstreamPointer upstream;
  /** The version of the weights that will serve it; 0 for a plain service. */
  std::uint64_t version = 0;
  /** Predicted time to first event, or to the answer of a plain service. */
  double predictedMs = 0;
};

/** The next time at which upstreams take a request. */
struct SendOpening
{
  utils::Millis at;
  /** Mean time until the next one after it; 0: any number is taken at once. */
  utils::Millis interval;
  /** Whether this entry may send it; otherwise only others. */
  bool isForThisEntry = true;
};

/** The rate limit of one upstream, as another entry reports it. */
struct RateLimitReport
{
  /** Stable hash of the upstream's id. */
  std::uint64_t upstream = 0;
  /** Start of the upstream's incarnation, as in its directory record. */
  std::int64_t startedMs = 0;
  RateLimitState state;
  RateDemand demand = RateDemand::None;
};

/**
 * Holds all upstreams with their load, and chooses the one for each request.
 * Not thread-safe; used by one thread.
 */
class UpstreamRegistry
{
public:
  /** The cheapest placement that meets the objective; empty if none does. */
  std::optional<Placement> FindPlacement(const PlacementQuery& aQuery,
                                         utils::Millis aNow) const;

  /**
   * The cheapest placement, whether or not it meets the objective or has a free
   * slot; for work that must not be refused, such as a stream that has begun.
   */
  std::optional<Placement> FindFallbackPlacement(const PlacementQuery& aQuery,
                                                 utils::Millis aNow) const;

  /** Whether any upstream, even a full one, serves the query's model. */
  bool HasServingUpstream(const PlacementQuery& aQuery,
                          utils::Millis aNow) const;

  /**
   * When the first upstream that serves the query takes a request again, as all
   * of them are paused or at their rate limit. Empty if one of them takes a
   * request now, or if there is none.
   */
  std::optional<SendOpening> FindOpening(const PlacementQuery& aQuery,
                                         utils::Millis aNow) const;

  /**
   * Counts a request that is sent to the upstream now against its rate limit;
   * false if the limit leaves none.
   */
  bool TakeSend(UpstreamState& aState, utils::Millis aNow) const;
  /** Whether the rate limit of any upstream is in force. */
  bool HasRateLimits(utils::Millis aNow) const;
  /**
   * Applies a rate limit of one incarnation that another entry holds. Returns
   * the upstream if that changed its limit here.
   */
  UpstreamPointer ApplyRateLimit(const std::string& aEntry,
                                 const RateLimitReport& aReport,
                                 utils::Millis aNow);
  /** The entries that the upstreams' rate limits are divided between. */
  EntryRoster& GetRoster() { return roster_; }
  void SetRoster(EntryRoster aRoster) { roster_ = std::move(aRoster); }

  /** Records that an upstream announced its exit to this entry. */
  void RecordLeave(UpstreamState& aState, utils::Millis aNow);
  /** The same, reported by another entry for one incarnation of the upstream.
   */
  void ApplyLeave(std::uint64_t aHash, std::int64_t aStartedMs);
  /** Upstreams whose exit this entry has observed since aSince. */
  std::vector<UpstreamPointer> ListLeavingSince(utils::Millis aSince) const;

  /**
   * Names the data centres whose upstreams get nothing new, also no work that
   * has begun elsewhere. What runs there is not affected.
   */
  void SetEvacuated(std::set<std::string> aDataCentres);
  const std::set<std::string>& GetEvacuated() const { return evacuated_; }
  /**
   * Whether no upstream serves the query while one of its service is in an
   * evacuated data centre.
   */
  bool IsEvacuated(const PlacementQuery& aQuery, utils::Millis aNow) const;

  /** Marks an upstream whose directory entry is missing; see inDoubt. */
  void SetInDoubt(const std::string& aId, bool aInDoubt);

  /**
   * Excludes an upstream that rejected a request because it does not serve
   * aVersion, until the directory or its side reports again or a timeout
   * expires.
   */
  void MarkStale(UpstreamState& aState,
                 const PlacementQuery& aQuery,
                 std::uint64_t aVersion,
                 utils::Millis aNow) const;

  /**
   * Adds an upstream of the directory, or replaces its record. A restarted
   * upstream (another startedMs) gets a new state without load and failures;
   * one at another address keeps its state without failures.
   * An incarnation that has announced its exit stays excluded, whatever a later
   * record states.
   */
  void Put(const platform::Upstream& aRecord);
  /**
   * Sets the region of each data centre. Those without one serve no request
   * that is bound to regions.
   */
  void SetRegions(std::map<std::string, std::string> aRegions);
  void Remove(const std::string& aId);
  /** Null if there is no such upstream. */
  UpstreamPointer Find(const std::string& aId) const;
  std::vector<std::string> ListIds() const;

  /** Replaces aEntry's load at all upstreams; zero where aUses has no row. */
  void ApplyEntryUse(const std::string& aEntry,
                     const std::vector<EntryUse>& aUses,
                     utils::Millis aNow);
  /** Replaces aEntry's load at the upstreams in aUses only. */
  void ApplyEntryChanges(const std::string& aEntry,
                         const std::vector<EntryUse>& aUses,
                         utils::Millis aNow);
  /** Removes the load of an entry that no longer sends notices. */
  void RemoveEntry(const std::string& aEntry, utils::Millis aNow);
  /** Without an arbiter any entry may take an upstream's last free slots. */
  void SetArbiter(SlotArbiter aArbiter) { arbiter_ = std::move(aArbiter); }
  void ApplySideReport(const std::string& aId,
                       const SideReport& aReport,
                       utils::Millis aNow);

  const std::map<std::string, UpstreamPointer>& GetAll() const
  {
    return upstreams_;
  }

private:
  /** Whether it serves the query, regardless of its health and load. */
  bool Serves(const UpstreamState& aState,
              const PlacementQuery& aQuery,
              utils::Millis aNow) const;
  void RememberLeave(const platform::Upstream& aRecord);
  bool HasLeft(const platform::Upstream& aRecord) const;
  /** Whether so many upstreams are in doubt that they are needed. */
  bool NeedsThoseInDoubt(const PlacementQuery& aQuery,
                         utils::Millis aNow) const;
  bool IsSlotAvailable(const UpstreamState& aState,
                       const EngineModel& aEngine,
                       utils::Millis aNow) const;
  bool IsCandidate(UpstreamState& aState,
                   const PlacementQuery& aQuery,
                   utils::Millis aNow) const;
  Placement MakePlacement(const UpstreamPointer& aState,
                          const PlacementQuery& aQuery,
                          utils::Millis aNow) const;
  std::optional<Placement> FindBest(const PlacementQuery& aQuery,
                                    utils::Millis aNow,
                                    bool aMustMeetObjective) const;

  std::string FindRegion(const std::string& aDataCentre) const;

  std::map<std::string, UpstreamPointer> upstreams_;
  /** Regions by data centre. */
  std::map<std::string, std::string> regions_;
  std::unordered_map<std::uint64_t, UpstreamPointer> byHash_;
  /** Start times of incarnations that announced their exit, by id. */
  std::map<std::string, std::int64_t> left_;
  /** Keys of left_, oldest first. */
  std::deque<std::string> leftOrder_;
  std::size_t inDoubtCount_ = 0;
  std::set<std::string> evacuated_;
  std::optional<SlotArbiter> arbiter_;
  EntryRoster roster_;
};

/**
 * The version of the query's model that aState serves, by its side's report if
 * that is fresh, otherwise by its directory record; 0: none.
 */
std::uint64_t
FindServedVersion(const UpstreamState& aState,
                  const PlacementQuery& aQuery,
                  utils::Millis aNow);

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_UpstreamRegistry_h
