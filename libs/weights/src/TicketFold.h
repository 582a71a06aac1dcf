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

/** The origin gives at most this many copies of each extent, over all
 * regions, for one publication of a version. */
inline constexpr std::size_t kMaxOriginCopies = 4;

/**
 * Which tickets for the origin are granted: the first few for each extent in
 * the log's order, and urgent ones out of what other extents left over. All
 * of a publication together never exceed the cap. Every reader of the same
 * records grants the same ones, whatever its view of the VMs.
 */
class TicketFold
{
public:
  /** Takes in one record; a repeat of an id changes nothing. */
  void Apply(const std::string& aId, const schema::OriginTicket& aTicket);

  bool IsKnown(const std::string& aId) const { return known_.contains(aId); }
  bool IsGranted(const std::string& aId) const
  {
    return granted_.contains(aId);
  }

private:
  /** One publication of a version. */
  struct Burst
  {
    std::string version;
    std::uint64_t revision = 0;
    auto operator<=>(const Burst&) const = default;
  };

  struct Counts
  {
    std::map<std::uint32_t, std::size_t> byExtent;
    std::size_t granted = 0;
    std::set<std::string> ids;
  };

  void ForgetOldest();

  std::map<Burst, Counts> bursts_;
  /** Oldest first. */
  std::deque<Burst> order_;
  std::set<std::string> known_;
  std::set<std::string> granted_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_TicketFold_h
