#ifndef waxwingyoke_routing_Chooser_h
#define waxwingyoke_routing_Chooser_h

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <routing/Candidate.h>
#include <utils/Time.h>

namespace waxwingyoke::routing {

/** How a side is chosen among those at the same distance. */
enum class Policy
{
  /** Rendezvous hashing of the prefix over sides with bounded load. */
  BoundedHash,
  /** The less loaded of two random sides. */
  TwoChoices,
  /** The lowest load relative to its slots. */
  LeastLoaded
};

/** The policy with that name; BoundedHash for unknown names. */
Policy
ParsePolicy(std::string_view aName);

/** The request's and the entry's properties that a choice depends on. */
struct ChoiceQuery
{
  Policy policy = Policy::BoundedHash;
  /** Hash of the prompt's prefix; 0 (none) makes BoundedHash a TwoChoices. */
  std::uint64_t affinity = 0;
  /** Data centre and region of the entry. */
  std::string dataCentre;
  std::string region;
  /** Incarnations that were already tried. */
  std::vector<std::string> excluded;
  /** The required version; empty: any. */
  std::string version;
  utils::Millis now;
  /** A random number, drawn for each choice. */
  std::uint64_t random = 0;
};

/**
 * Chooses a side by the policy in the nearest scope that has a free slot: the
 * entry's data centre, its region, then all regions. Without any free slot it
 * chooses the least loaded side; ejected sides are chosen only if no other is
 * left. Null if no candidate is allowed by the query.
 */
const Candidate*
Choose(const Candidates& aCandidates, const ChoiceQuery& aQuery);

/** BoundedHash fills a side up to this multiple of the mean load. */
inline constexpr double kLoadBound = 1.2;

} // namespace waxwingyoke::routing

#endif // waxwingyoke_routing_Chooser_h
