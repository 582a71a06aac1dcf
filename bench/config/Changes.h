#ifndef waxwingyoke_bench_config_Changes_h
#define waxwingyoke_bench_config_Changes_h

#include <cstdint>
#include <vector>

#include <bed/Bed.h>
#include <profiles/Publisher.h>

#include "Timeline.h"

namespace waxwingyoke::bench {

/** A change that was accepted. */
struct AcceptedChange
{
  /** Wall clock before it was sent, ms. */
  std::int64_t sentMs = 0;
  std::uint64_t revision = 0;
};

/** Publishes changes, each of the next of a few profiles. */
class Changer
{
public:
  explicit Changer(bed::Bed& aBed);

  /** One change; false where the log did not take it. */
  bool Send();

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

/** How long changes took to be in force on every node. */
struct InForceTimes
{
  std::int64_t p50Ms = 0;
  std::int64_t p99Ms = 0;
  std::int64_t mostMs = 0;
  /** Changes that were not in force on some node at the end. */
  std::uint64_t missing = 0;
  std::uint64_t reverts = 0;
};

/**
 * From the nodes' logs. Time in which a change could not spread, because a
 * fault lasted until aFaultEndMs, does not count.
 */
InForceTimes
MeasureInForce(const std::vector<AcceptedChange>& aChanges,
               const std::vector<Timeline>& aNodes,
               std::int64_t aFaultEndMs);

} // namespace waxwingyoke::bench

#endif // waxwingyoke_bench_config_Changes_h
