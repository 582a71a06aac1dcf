#ifndef waxwingyoke_dispatch_SoundParts_h
#define waxwingyoke_dispatch_SoundParts_h

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** A part of prompts with which a request ran without a crash. */
struct SoundPart
{
  /** Stable hash of the part's id. */
  std::uint64_t part = 0;
  utils::Millis survivedAt;
};

/**
 * Holds when requests with each part of a prompt last ran without crashing
 * their upstream. Bounded: the parts of the oldest runs are forgotten. Not
 * thread-safe.
 */
class SoundParts
{
public:
  /** Records a run of this entry. */
  void RecordRun(const std::vector<std::uint64_t>& aParts, utils::Millis aNow);

  /** Records a run of another entry. */
  void Apply(const SoundPart& aPart);

  /** The last run with the part, as far as known; empty if none is held. */
  std::optional<utils::Millis> FindLastRun(std::uint64_t aPart) const;

  /** Runs with any part after aTime, as far as known; counts up to a few. */
  std::size_t CountRunsAfter(utils::Millis aTime) const;

private:
  bool SetLastRun(const SoundPart& aPart);
  void AddRecent(utils::Millis aTime);
  void RemoveOldest();

  std::unordered_map<std::uint64_t, utils::Millis> lastRuns_;
  std::deque<utils::Millis> recentRuns_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_SoundParts_h
