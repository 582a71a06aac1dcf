#ifndef waxwingyoke_weights_PermitExpiryTracker_h
#define waxwingyoke_weights_PermitExpiryTracker_h

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include <utils/Time.h>

#include "PermitFold.h"

namespace waxwingyoke::weights {

/** A holder uses a permit no longer than this after the latest time at which
 * the permit was certainly not granted yet. */
inline constexpr utils::Millis kPermitHoldTime(60000);

/** Others release a permit that they have seen granted for this long. Longer
 * than kPermitHoldTime by more than two clocks' rates differ. */
inline constexpr utils::Millis kPermitLifetime(90000);

/** Others release a permit, granted or waiting, once its process has been
 * absent from the membership view, or replaced by another incarnation of its
 * VM, for this long. */
inline constexpr utils::Millis kOrphanedPermitLifetime(10000);

/**
 * Lists the permits that others should release, by this process's clock only:
 * it counts from when it first saw a permit granted, which is never before
 * the grant, and no two clocks are compared.
 */
class PermitExpiryTracker
{
public:
  using IsOrphaned = std::function<bool(const Permit&)>;

  /** Those of aPermits that have expired at aNow. */
  std::vector<Permit> ListExpired(const std::vector<Permit>& aPermits,
                                  const IsOrphaned& aIsOrphaned,
                                  utils::Millis aNow);

private:
  struct Seen
  {
    utils::Millis grantedSince;
    utils::Millis orphanedSince;
    bool granted = false;
    bool orphaned = false;
  };

  bool IsExpired(const Permit& aPermit, bool aOrphaned, utils::Millis aNow);

  std::map<std::uint64_t, Seen> seen_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_PermitExpiryTracker_h
