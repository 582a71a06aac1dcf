#ifndef waxwingyoke_routing_Chooser_h
#define waxwingyoke_routing_Chooser_h

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <routing/Candidate.h>
#include <utils/Time.h>

namespace waxwingyoke::routing {

/** How a side is chosen among equally near ones. */
enum class Policy
{
  /** The first by the prefix's hash that is not above the mean load. */
  BoundedHash,
  /** The less loaded of two drawn at random. */
  TwoChoices,
  LeastLoaded
};

/** The policy with that name; BoundedHash for any other. */
Policy
ParsePolicy(std::string_view aName);

/** What a choice depends on besides the candidates. */
struct ChoiceQuery
{
  Policy policy = Policy::BoundedHash;
  /** Hash of the prompt's beginning; 0 where there is none. */
  std::uint64_t affinity = 0;
  std::string dataCentre;
  std::string region;
  /** Incarnations that were tried. */
  std::vector<std::string> excluded;
  /** The only version that will do; empty: any. */
  std::string version;
  utils::Millis now;
  /** A random number. */
  std::uint64_t random = 0;
};

/**
 * The side that gets the request: in the own data centre before the own
 * region before the rest, while there is a free slot; among equals by the
 * policy. Ejected sides only where there is no other. Null where there is
 * none at all.
 */
const Candidate*
Choose(const Candidates& aCandidates, const ChoiceQuery& aQuery);

/** Highest load over the mean that bounded hashing lets a side have. */
inline constexpr double kLoadBound = 1.2;

} // namespace waxwingyoke::routing

#endif // waxwingyoke_routing_Chooser_h
