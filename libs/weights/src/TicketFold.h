#ifndef waxwingyoke_weights_TicketFold_h
#define waxwingyoke_weights_TicketFold_h

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include <schema/log.pb.h>

namespace waxwingyoke::weights {

/** The maximum number of tickets per extent, over all regions, for one
 * publication of a version; urgent tickets may exceed it for one extent. */
inline constexpr std::size_t kMaxOriginCopies = 4;

/**
 * Folds the log's ticket records into the set of granted origin tickets: the
 * first kMaxOriginCopies of each extent in the log's order, and urgent ones
 * from the budget that other extents have not used. The total of a publication
 * never exceeds kMaxOriginCopies times its extents. The result depends on the
 * records alone, not on the membership view, so all readers grant the same
 * tickets.
 */
class TicketFold
{
public:
  /** Applies one record; idempotent by aId. */
  void Apply(const std::string& aId, const schema::OriginTicket& aTicket);

  bool IsKnown(const std::string& aId) const { return known_.contains(aId); }
  bool IsGranted(const std::string& aId) const
  {
    return granted_.contains(aId);
  }

private:
  /** One publication of a version. */
  struct Publication
  {
    std::string version;
    std::uint64_t revision = 0;
    auto operator<=>(const Publication&) const = default;
  };

  struct Counts
  {
    std::map<std::uint32_t, std::size_t> byExtent;
    std::size_t granted = 0;
    std::set<std::string> ids;
  };

  void EvictOldest();

  std::map<Publication, Counts> publications_;
  /** The publications, oldest first. */
  std::deque<Publication> order_;
  std::set<std::string> known_;
  std::set<std::string> granted_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_TicketFold_h
