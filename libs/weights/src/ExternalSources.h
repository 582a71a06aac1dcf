#ifndef waxwingyoke_weights_ExternalSources_h
#define waxwingyoke_weights_ExternalSources_h

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "FetchFailover.h"
#include "OriginBudget.h"
#include "Swarm.h"

namespace waxwingyoke::weights {

/** The kinds of sources outside the region's sides. */
enum class SourceKind
{
  Store,
  Origin,
  RemotePeer
};

/** One chunk to fetch and its external source. */
struct ExternalPick
{
  std::size_t chunk = 0;
  SourceKind kind = SourceKind::Origin;
  net::Endpoint endpoint;
  /** The VM of a remote peer; empty for the store and the origin. */
  std::string vm;
};

/**
 * Decides which chunks that no side of the region holds are fetched by this
 * side, and from which source: the store, else the origin, else a side of
 * another region. Used by the fibers of one thread.
 */
class ExternalSources
{
public:
  ExternalSources(ReplicatorContext aContext,
                  std::shared_ptr<Swarm> aSwarm,
                  OriginBudget& aBudget);

  /** The next chunk that this side should fetch; empty where there is none. */
  std::optional<ExternalPick> PickNext();

  /** Counts a fetch as running until End or CancelPick. */
  void Begin() { ++activeFetches_; }

  /** Reverts Begin for a pick that is not fetched. */
  void CancelPick() { --activeFetches_; }

  /** Whether the origin's budget permits the fetch. May suspend the fiber. */
  bool Admit(const ExternalPick& aPick);

  /** Ends a fetch that received aBytes; aError is unset where it succeeded. */
  void End(const ExternalPick& aPick,
           std::size_t aBytes,
           const utils::Error& aError);

  /** The store and the origin, without those in backoff after a failure. */
  std::vector<ExternalPick> ListServices() const;

private:
  struct Service
  {
    SourceKind kind;
    net::Endpoint endpoint;
    utils::Millis avoidUntil;
    int failures = 0;
  };

  bool IsDue(std::size_t aExtent);
  bool IsDeferred(std::size_t aChunk) const;
  std::optional<ExternalPick> PickSource(const PickInput& aInput,
                                         std::size_t aChunk) const;
  std::size_t GetExtentOf(std::size_t aChunk) const;

  const ReplicatorContext context_;
  std::shared_ptr<Swarm> swarm_;
  OriginBudget& budget_;
  std::vector<Service> services_;
  utils::Clock clock_;
  int activeFetches_ = 0;
  /** Chunks that the budget refused, and the time until they are retried. */
  std::map<std::size_t, utils::Millis> deferredUntil_;
  /** The sides that ranks_ was computed for. */
  std::vector<std::string> rankedVms_;
  /** The ranked sides of each extent. */
  std::map<std::size_t, std::vector<std::string>> ranks_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_ExternalSources_h
