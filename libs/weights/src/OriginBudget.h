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

/** Who asks for tickets, and for which publication. */
struct TicketOwner
{
  std::string vm;
  std::string incarnation;
  std::string region;
  std::string version;
  std::uint64_t revision = 0;
};

/** One chunk to be fetched from the store or the origin. */
struct OriginTry
{
  std::size_t chunk = 0;
  std::size_t extent = 0;
  /** Of the version. */
  std::size_t extents = 0;
};

/**
 * Lets one transfer fetch from the origin only as often as the log grants.
 * A ticket is good for one try at each chunk of its extent, whether the
 * bytes were good or not, so the origin's bytes stay under the cap under any
 * fault. While the log is out for longer, each chunk may be tried
 * once without.
 */
class OriginBudget
{
public:
  OriginBudget(RolloutLog& aLog, TicketOwner aOwner);

  /** Whether the chunk may be tried now; counts the try. May suspend. */
  bool Admit(const OriginTry& aTry);

  /** The source sent nothing at all, so the try does not count. */
  void TakeBack(std::size_t aChunk);

  /** Whether the log refused more tickets for that extent. */
  bool IsSpent(std::size_t aExtent) const;

private:
  struct Extent
  {
    int tickets = 0;
    bool refused = false;
    utils::Millis refusedAt;
  };

  schema::LogRecord MakeTicket(const OriginTry& aTry) const;
  bool AdmitWithoutLog(std::size_t aChunk);

  RolloutLog& log_;
  const TicketOwner owner_;
  std::map<std::size_t, Extent> extents_;
  std::map<std::size_t, int> tries_;
  utils::Clock clock_;
  std::optional<utils::Millis> unavailableSince_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_OriginBudget_h
