#include "CallerClock.h"

#include <algorithm>

namespace waxwingyoke::fleet {

namespace {

// A shorter difference is the way here, not an earlier attempt.
constexpr utils::Millis kShortestRound(50);

} // namespace

CallerTime
CallerClock::Read(const std::string& aRoute,
                  std::optional<utils::Millis> aPatience)
{
  if (!aPatience) {
    return {};
  }
  auto& longest = longest_[aRoute];
  longest = std::max(longest, *aPatience);
  CallerTime time;
  time.elapsed = longest - *aPatience;
  time.returned = time.elapsed >= kShortestRound;
  return time;
}

} // namespace waxwingyoke::fleet
