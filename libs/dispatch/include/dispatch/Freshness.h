#ifndef waxwingyoke_dispatch_Freshness_h
#define waxwingyoke_dispatch_Freshness_h

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** What a configuration may be used for, by its age. */
enum class Trust
{
  /** It may both accept and reject requests. */
  Full,
  /**
   * It may accept requests but not reject them: a missing route or key may
   * have been added since.
   */
  AcceptOnly,
  /** It may only accept requests without a key: keys may be revoked by now. */
  KeylessOnly
};

/** Bounds of a configuration's age, from the deployment's settings. */
struct FreshnessBounds
{
  /** A change of the configuration applies at all entries within this. */
  utils::Millis configApply;
  /** A revoked key starts no more requests after this. */
  utils::Millis revoke;
};

/**
 * aAge: time since the entry sent the read request that confirmed the
 * configuration as the latest version.
 */
Trust
ClassifyAge(utils::Millis aAge, const FreshnessBounds& aBounds);

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_Freshness_h
