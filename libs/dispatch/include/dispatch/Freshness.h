#ifndef waxwingyoke_dispatch_Freshness_h
#define waxwingyoke_dispatch_Freshness_h

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** What a configuration of a certain age may be used for. */
enum class Trust
{
  /** All. */
  Full,
  /** Requests that it allows; what it lacks may have been added since. */
  Allowed,
  /** Requests that need no key: a key may have been taken away since. */
  KeylessOnly
};

/** Bounds of the age of a configuration; from the deployment's rules. */
struct FreshnessBounds
{
  utils::Millis configApply;
  utils::Millis revoke;
};

/**
 * aAge: since the read was sent that confirmed the configuration as the
 * newest.
 */
Trust
JudgeAge(utils::Millis aAge, const FreshnessBounds& aBounds);

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_Freshness_h
