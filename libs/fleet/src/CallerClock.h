#ifndef waxwingyoke_fleet_CallerClock_h
#define waxwingyoke_fleet_CallerClock_h

#include <map>
#include <optional>
#include <string>

#include <utils/Time.h>

namespace waxwingyoke::fleet {

/** Where an attempt stands in its caller's time. */
struct CallerTime
{
  /** Since the caller's first attempt. */
  utils::Millis elapsed;
  /** The caller was refused before and comes back. */
  bool returned = false;
};

/**
 * Tells how long a caller has waited already: callers of a route start with
 * the same patience, and one that comes back has less of it left.
 */
class CallerClock
{
public:
  CallerTime Read(const std::string& aRoute,
                  std::optional<utils::Millis> aPatience);

private:
  /** The longest patience seen, by route. */
  std::map<std::string, utils::Millis> longest_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_CallerClock_h
