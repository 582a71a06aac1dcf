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

/** A version that is staged here while a newer one was named already. */
struct SupersededVersion
{
  /** Only the side's place among those of the fleet counts. */
  SwitchTerms turn;
  /** All pieces lie here or at other sides. */
  bool isInFleet = false;
  /** The newer version's pieces can be had. */
  bool isOriginAnswering = true;
};

/** Whether this side's upstream still takes it before the newer one. */
bool
IsWorthFinishing(const SupersededVersion& aVersion);

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_SwitchPlan_h
