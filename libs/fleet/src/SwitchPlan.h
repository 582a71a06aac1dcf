#ifndef waxwingyoke_fleet_SwitchPlan_h
#define waxwingyoke_fleet_SwitchPlan_h

#include <cstdint>

#include <utils/Time.h>

namespace waxwingyoke::fleet {

/** Input of the decision when an upstream switches to new weights. */
struct SwitchOptions
{
  /** This side's rank among all sides of the fleet, and their number. */
  std::size_t rank = 0;
  std::size_t sides = 1;
  /** The upstream serves nothing now, so it need not wait. */
  bool idle = false;
  /** Time since the version was named. */
  utils::Millis age;
  /** Age from which new work may begin on the new version only. */
  utils::Millis limit;
};

/**
 * How long to delay the switch, so that most upstreams serve at any time and
 * all have switched before the limit.
 */
utils::Millis
ComputeSwitchDelay(const SwitchOptions& aOptions);

/** A version that this side is staging although a newer one was named. */
struct SupersededVersion
{
  /** Only rank and sides are used. */
  SwitchOptions switchOptions;
  /** Each piece is staged here or announced by another side. */
  bool isInFleet = false;
  /** The pieces of the newer version can be downloaded. */
  bool isOriginAnswering = true;
};

/** Whether this side's upstream still loads it before the newer version. */
bool
IsWorthFinishing(const SupersededVersion& aVersion);

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_SwitchPlan_h
