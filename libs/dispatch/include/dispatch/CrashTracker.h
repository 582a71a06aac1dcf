#ifndef waxwingyoke_dispatch_CrashTracker_h
#define waxwingyoke_dispatch_CrashTracker_h

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** An upstream crash while a request ran there. */
struct Crash
{
  /** Digest of the request: the same for each retry, at any entry. */
  std::uint64_t request = 0;
  /** Stable hash of the upstream's id. */
  std::uint64_t upstream = 0;
};

/**
 * Counts the upstreams that crashed while a request ran there. A request that
 * was running at several crashes is treated as their cause and quarantined for
 * a limited time. Not thread-safe.
 */
class CrashTracker
{
public:
  /**
   * Returns true if this upstream's crash was not yet recorded for the
   * request; false if it was, or if the table is full.
   */
  bool RecordCrash(const Crash& aCrash, utils::Millis aNow);

  bool IsQuarantined(std::uint64_t aRequest, utils::Millis aNow) const;

  /** Removes a request that ran to completion: it is not the cause. */
  void Clear(std::uint64_t aRequest);

  /**
   * All crashes of the requests whose last crash was recorded at or after
   * aSince; they are sent to the other entries.
   */
  std::vector<Crash> ListSince(utils::Millis aSince) const;

private:
  struct Row
  {
    std::set<std::uint64_t> upstreams;
    utils::Millis last;
  };

  void RemoveExpired(utils::Millis aNow);

  std::unordered_map<std::uint64_t, Row> rows_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_CrashTracker_h
