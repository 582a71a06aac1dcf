#ifndef waxwingyoke_membership_HealingTurns_h
#define waxwingyoke_membership_HealingTurns_h

#include <cstdint>

namespace waxwingyoke::membership {

/**
 * Which of a stale node's tries goes to the log itself instead of another
 * node: one in a few. By turns, not by chance: a node that is the only one to
 * reach the log must get there within a bounded time.
 */
class HealingTurns
{
public:
  static constexpr std::uint64_t kLogShare = 4;

  /** Nodes with different seeds begin at different turns. */
  explicit HealingTurns(std::uint64_t aSeed)
    : next_(aSeed)
  {
  }

  bool TakeLog() { return next_++ % kLogShare == 0; }

private:
  std::uint64_t next_;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_HealingTurns_h
