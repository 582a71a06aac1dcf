#ifndef waxwingyoke_bench_config_Changes_h
#define waxwingyoke_bench_config_Changes_h

#include <cstdint>
#include <vector>

#include <bed/Bed.h>
#include <profiles/Publisher.h>

#include "Timeline.h"

namespace waxwingyoke::bench {

/** A configuration change that was accepted. */
struct AcceptedChange
{
  /** Wall-clock time just before it was published, ms. */
  std::int64_t sentMs = 0;
  std::uint64_t revision = 0;
};

/** Publishes changes to a fixed set of profiles in turn. */
class ChangePublisher
{
public:
  explicit ChangePublisher(bed::Bed& aBed);

  /** Publishes one change; returns false if it was not accepted. */
  bool PublishNext();

  const std::vector<AcceptedChange>& GetAccepted() const { return accepted_; }
  std::uint64_t GetRefused() const { return refused_; }

private:
  platform::LogClient log_;
  profiles::Publisher publisher_;
  std::vector<std::uint64_t> revisions_;
  std::size_t count_ = 0;
  std::vector<AcceptedChange> accepted_;
  std::uint64_t refused_ = 0;
};

/** Statistics of the time until changes were in force on every node. */
struct InForceTimes
{
  std::int64_t p50Ms = 0;
  std::int64_t p99Ms = 0;
  std::int64_t maxMs = 0;
  /** Changes that were not in force on every node at the end. */
  std::uint64_t neverInForce = 0;
  /** How often a node went back to a lower offset. */
  std::uint64_t reverts = 0;
};

/**
 * Computes the statistics from the nodes' logs. The time of a change counts
 * from aFaultEndMs if it was published earlier, because it could not reach
 * every node during the fault.
 */
InForceTimes
MeasureInForce(const std::vector<AcceptedChange>& aChanges,
               const std::vector<Timeline>& aNodes,
               std::int64_t aFaultEndMs);

} // namespace waxwingyoke::bench

#endif // waxwingyoke_bench_config_Changes_h
