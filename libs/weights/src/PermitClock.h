#ifndef waxwingyoke_weights_PermitClock_h
#define waxwingyoke_weights_PermitClock_h

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include <utils/Time.h>

#include "PermitFold.h"

namespace waxwingyoke::weights {

/** A holder acts on a permit no longer than this after a moment at which it
 * was surely not granted yet. */
inline constexpr utils::Millis kPermitHold(60000);

/** Others free a permit that they have seen granted for this long. Longer
 * than kPermitHold by more than two clocks' rates differ. */
inline constexpr utils::Millis kPermitLife(90000);

/** Others free the permit of a process that is gone after this. */
inline constexpr utils::Millis kGonePermitLife(10000);

/**
 * Tells which permits others should free, by this process's own clock only:
 * it counts from when it first saw a permit granted, which is never before
 * the grant, and no two clocks are compared.
 */
class PermitClock
{
public:
  using IsGone = std::function<bool(const Permit&)>;

  /** Those of aPermits that have outlived their time at aNow. */
  std::vector<Permit> ListExpired(const std::vector<Permit>& aPermits,
                                  const IsGone& aIsGone,
                                  utils::Millis aNow);

private:
  struct Seen
  {
    utils::Millis grantedSince;
    utils::Millis goneSince;
    bool granted = false;
    bool gone = false;
  };

  bool IsExpired(const Permit& aPermit, bool aGone, utils::Millis aNow);

  std::map<std::uint64_t, Seen> seen_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_PermitClock_h
