#ifndef waxwingyoke_weights_ExternalSources_h
#define waxwingyoke_weights_ExternalSources_h

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "OriginBudget.h"
#include "StepIn.h"
#include "Swarm.h"

namespace waxwingyoke::weights {

/** Where a chunk may come from that no side of the region holds. */
enum class SourceKind
{
  Store,
  Origin,
  RemotePeer
};

/** One chunk to fetch from outside the region. */
struct ExternalPick
{
  std::size_t chunk = 0;
  SourceKind kind = SourceKind::Origin;
  net::Endpoint endpoint;
  /** Of a remote peer. */
  std::string vm;
};

/**
 * Decides which chunks this side brings into its region, and from where: the
 * store, else the origin, else a side of another region.
 */
class ExternalSources
{
public:
  ExternalSources(Services aServices,
                  std::shared_ptr<Swarm> aSwarm,
                  OriginBudget& aBudget);

  /** The next chunk that is this side's turn; empty where there is none. */
  std::optional<ExternalPick> Next();

  void Begin() { ++running_; }

  /** The pick that Begin was called for is not fetched after all. */
  void GiveUp() { --running_; }

  /** Whether the origin's budget lets that pick be fetched; may suspend. */
  bool Admit(const ExternalPick& aPick);

  /** aBytes came, with an error or without. */
  void End(const ExternalPick& aPick,
           std::size_t aBytes,
           const utils::Error& aError);

  /** The store and the origin, as far as there are any and they work. */
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
  bool IsHeldBack(std::size_t aChunk) const;
  std::optional<ExternalPick> PickSource(const PickInput& aInput,
                                         std::size_t aChunk) const;
  std::size_t GetExtentOf(std::size_t aChunk) const;

  const Services services_;
  std::shared_ptr<Swarm> swarm_;
  OriginBudget& budget_;
  std::vector<Service> list_;
  utils::Clock clock_;
  int running_ = 0;
  /** Chunks that the budget held back, and until when. */
  std::map<std::size_t, utils::Millis> heldBack_;
  /** Ranks by extent, for the sides of rankedVms_. */
  std::vector<std::string> rankedVms_;
  std::map<std::size_t, std::vector<std::string>> ranks_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_ExternalSources_h
