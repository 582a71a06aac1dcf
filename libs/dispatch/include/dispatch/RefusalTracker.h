#ifndef waxwingyoke_dispatch_RefusalTracker_h
#define waxwingyoke_dispatch_RefusalTracker_h

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** A refused request. */
struct Refusal
{
  /** Digest of the request: the same for each retry, at any entry. */
  std::uint64_t request = 0;
  /** Arrival of the first attempt, which was refused. */
  utils::Millis firstArrivedAt;
};

/**
 * Holds refused requests for as long as their callers may retry, so that a
 * retried request is recognised and the time since its first attempt counts
 * towards its objective. The timeout that a caller sends does not show whether
 * a request is a retry, as it differs from caller to caller. Not thread-safe.
 */
class RefusalTracker
{
public:
  /** A request that is refused again keeps its first arrival time. */
  void RecordRefusal(const Refusal& aRefusal, utils::Millis aNow);

  /** Arrival of the first attempt; empty if no refusal is held. */
  std::optional<utils::Millis> Find(std::uint64_t aRequest) const;

  /**
   * Refusals for the next notice to other entries; each is returned by two
   * calls, then removed.
   */
  std::vector<Refusal> TakePending();

  /** Queues a refusal of this entry for the notices to other entries. */
  void Announce(const Refusal& aRefusal);

private:
  struct Pending
  {
    Refusal refusal;
    int sentTimes = 0;
  };

  void RemoveExpired(utils::Millis aNow);

  std::unordered_map<std::uint64_t, utils::Millis> firstArrivals_;
  std::vector<Pending> pending_;
  utils::Millis cleanedAt_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_RefusalTracker_h
