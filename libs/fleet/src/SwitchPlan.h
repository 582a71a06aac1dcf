#ifndef waxwingyoke_fleet_SwitchPlan_h
#define waxwingyoke_fleet_SwitchPlan_h

#include <cstdint>

#include <utils/Time.h>

namespace waxwingyoke::fleet {

/** What decides when an upstream may switch to new weights. */
struct SwitchTerms
{
  /** This side's place among those of the fleet, and how many there are. */
  std::size_t rank = 0;
  std::size_t sides = 1;
  /** It serves nothing now, so that waiting saves nothing. */
  bool idle = false;
  /** Since the version was named. */
  utils::Millis age;
  /** When only the new version may begin work. */
  utils::Millis limit;
};

/**
 * How long the switch is put off, so that most upstreams serve at any time
 * and all have switched before the limit.
 */
utils::Millis
PlanSwitch(const SwitchTerms& aTerms);

/**
 * Whether an upstream still switches to a version that lies staged although a
 * newer one, which does not, was named meanwhile.
 */
bool
TakesSuperseded(const SwitchTerms& aTerms);

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_SwitchPlan_h
