#ifndef waxwingyoke_membership_ResyncRotation_h
#define waxwingyoke_membership_ResyncRotation_h

#include <cstdint>

namespace waxwingyoke::membership {

/**
 * Picks the resync attempts that read the log; the others query a peer. Not at
 * random: a stale node that is the only one to
 * reach the log must get there within a bounded time.
 */
class ResyncRotation
{
public:
  static constexpr std::uint64_t kLogInterval = 4;

  /** Different seeds start differently. */
  explicit ResyncRotation(std::uint64_t aSeed)
    : next_(aSeed)
  {
  }

  /** Whether the next attempt reads the log. */
  bool PickLog() { return next_++ % kLogInterval == 0; }

private:
  std::uint64_t next_;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_ResyncRotation_h
