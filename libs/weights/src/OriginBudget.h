#ifndef waxwingyoke_weights_OriginBudget_h
#define waxwingyoke_weights_OriginBudget_h

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <utils/Time.h>

#include "RolloutLog.h"

namespace waxwingyoke::weights {

/** The process that requests tickets, and the publication they are for. */
struct TicketOwner
{
  std::string vm;
  std::string incarnation;
  std::string region;
  std::string version;
  std::uint64_t revision = 0;
};

/** One fetch of a chunk from the store or the origin. */
struct OriginFetch
{
  std::size_t chunk = 0;
  std::size_t extent = 0;
  /** The number of extents of the version. */
  std::size_t extents = 0;
};

/**
 * Limits one transfer's fetches from the store and the origin to the tickets
 * that the log grants. A ticket permits one fetch of each chunk of its extent,
 * whether or not the bytes turn out valid, so the origin's traffic stays under
 * its cap under any fault. During a longer outage of the log each chunk may be
 * fetched once without a ticket.
 */
class OriginBudget
{
public:
  OriginBudget(RolloutLog& aLog, TicketOwner aOwner);

  /**
   * Whether the chunk may be fetched now; if so, the fetch is counted. May
   * append a ticket to the log, which suspends the fiber.
   */
  bool Admit(const OriginFetch& aFetch);

  /** Reverts the count of a fetch for which the source sent no byte. */
  void RefundFetch(std::size_t aChunk);

  /** Whether the log refused the last ticket for that extent. */
  bool IsExhausted(std::size_t aExtent) const;

private:
  struct Extent
  {
    int tickets = 0;
    bool refused = false;
    utils::Millis refusedAt;
  };

  schema::LogRecord MakeTicket(const OriginFetch& aFetch) const;
  bool AdmitWithoutLog(std::size_t aChunk);

  RolloutLog& log_;
  const TicketOwner owner_;
  std::map<std::size_t, Extent> extents_;
  std::map<std::size_t, int> fetchCounts_;
  utils::Clock clock_;
  std::optional<utils::Millis> unavailableSince_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_OriginBudget_h
