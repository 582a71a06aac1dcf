#ifndef waxwingyoke_dispatch_UpstreamBook_h
#define waxwingyoke_dispatch_UpstreamBook_h

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <dispatch/EngineModel.h>
#include <dispatch/SlotTurns.h>
#include <dispatch/UpstreamHealth.h>
#include <platform/Upstream.h>
#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** Requests of one entry at one upstream. */
struct UseCount
{
  std::uint32_t running = 0;
  /** Prompt tokens of those that have not sent their first event. */
  std::uint32_t unreadTokens = 0;

  bool operator==(const UseCount&) const = default;
};

/** Requests of another entry at the upstream with that hash. */
struct EntryUse
{
  std::uint64_t upstream = 0;
  UseCount use;
};

/** What a side says first hand of its upstream. */
struct SideReport
{
  std::uint64_t version = 0;
  bool accepting = true;
  double pace = 1;
};

/** One upstream as this entry knows it. */
struct UpstreamState
{
  platform::Upstream record;
  std::uint64_t hash = 0;
  /** This entry's own requests. */
  UseCount own;
  /** What other entries said of theirs, and the sum of it. */
  std::map<std::string, UseCount> others;
  UseCount othersSum;
  /** When the known number of requests here last changed. */
  utils::Millis useChangedAt;
  UpstreamHealth health;
  std::optional<SideReport> side;
  utils::Millis sideHeardAt;
  /** Until then, or news of it, what is said of its weights is not believed. */
  utils::Millis doubtedUntil;

  UseCount GetUse() const;
  /** Replaces what aEntry said; nothing running: it is forgotten. */
  void SetOther(const std::string& aEntry,
                const UseCount& aUse,
                utils::Millis aNow);
};

using UpstreamPointer = std::shared_ptr<UpstreamState>;

/** What a place for a request depends on. */
struct PlaceQuery
{
  std::string service;
  /** Null for a plain service. */
  const EngineModel* engine = nullptr;
  std::string model;
  std::uint32_t layers = 0;
  /** Older versions will not do; 0: any complete one. */
  std::uint64_t minVersion = 0;
  /** Taken before others where it has room; 0: none. */
  std::uint64_t preferredVersion = 0;
  std::uint32_t promptTokens = 0;
  std::string dataCentre;
  /** Until the objective, from now. */
  utils::Millis timeLeft;
  /** How much later than predicted first events come, ms. */
  double biasMs = 0;
  /**
   * The entry that asks: entries begin with different upstreams, so that what
   * one does not know of the others' last requests matters less.
   */
  std::uint64_t entryHash = 0;
  /** Ids that were tried. */
  std::vector<std::string> excluded;
};

/** Where a request goes. */
struct Place
{
  UpstreamPointer upstream;
  /** The version it is sent under; 0 for a plain service. */
  std::uint64_t version = 0;
  double predictedMs = 0;
};

/**
 * The upstreams, what runs there, and who gets the next request. Used by one
 * thread.
 */
class UpstreamBook
{
public:
  /** A place that meets the objective; empty if there is none now. */
  std::optional<Place> FindPlace(const PlaceQuery& aQuery,
                                 utils::Millis aNow) const;

  /**
   * The least crowded place, whether or not it meets the objective; for work
   * that must not be refused, such as a stream that has begun.
   */
  std::optional<Place> FindAnyPlace(const PlaceQuery& aQuery,
                                    utils::Millis aNow) const;

  /** Whether any upstream, full or not, serves what the query asks for. */
  bool HasProspect(const PlaceQuery& aQuery, utils::Millis aNow) const;

  /**
   * An upstream turned a request away as it does not serve aVersion: not
   * believed again before the directory or its side say something new.
   */
  void Doubt(UpstreamState& aState,
             const PlaceQuery& aQuery,
             std::uint64_t aVersion,
             utils::Millis aNow) const;

  /** Adds or replaces what the directory says of an upstream. */
  void Put(const platform::Upstream& aRecord);
  void Remove(const std::string& aId);
  UpstreamPointer Find(const std::string& aId) const;
  std::vector<std::string> ListIds() const;

  /** Replaces all that aEntry said before. */
  void TakeEntryUse(const std::string& aEntry,
                    const std::vector<EntryUse>& aUses,
                    utils::Millis aNow);
  /** Replaces what aEntry said of these upstreams. */
  void TakeEntryChanges(const std::string& aEntry,
                        const std::vector<EntryUse>& aUses,
                        utils::Millis aNow);
  /** An entry that has gone silent has no requests that count. */
  void ForgetEntry(const std::string& aEntry, utils::Millis aNow);
  /** Without turns an upstream's last places are anyone's. */
  void SetTurns(SlotTurns aTurns) { turns_ = std::move(aTurns); }
  void TakeSideReport(const std::string& aId,
                      const SideReport& aReport,
                      utils::Millis aNow);

  const std::map<std::string, UpstreamPointer>& GetAll() const
  {
    return upstreams_;
  }

private:
  bool Serves(const UpstreamState& aState,
              const PlaceQuery& aQuery,
              utils::Millis aNow) const;
  bool HasPlace(const UpstreamState& aState,
                const EngineModel& aEngine,
                utils::Millis aNow) const;
  bool IsCandidate(const UpstreamState& aState,
                   const PlaceQuery& aQuery,
                   utils::Millis aNow) const;
  Place Rate(const UpstreamPointer& aState,
             const PlaceQuery& aQuery,
             utils::Millis aNow) const;
  std::optional<Place> FindBest(const PlaceQuery& aQuery,
                                utils::Millis aNow,
                                bool aInTime) const;

  std::map<std::string, UpstreamPointer> upstreams_;
  std::unordered_map<std::uint64_t, UpstreamPointer> byHash_;
  std::optional<SlotTurns> turns_;
};

/** The version that aState serves of the query's model; 0: none. */
std::uint64_t
FindServedVersion(const UpstreamState& aState,
                  const PlaceQuery& aQuery,
                  utils::Millis aNow);

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_UpstreamBook_h
