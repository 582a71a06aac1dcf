#ifndef waxwingyoke_dispatch_SharedRateLimit_h
#define waxwingyoke_dispatch_SharedRateLimit_h

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <dispatch/EntryRoster.h>
#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** The rate limit of one upstream, as entries tell it to each other. */
struct RateLimitState
{
  /** Rises with each change; the state with the highest order holds. */
  std::uint64_t order = 0;
  /** Requests a second from all entries together; empty: no limit. */
  std::optional<double> rate;

  bool operator==(const RateLimitState&) const = default;
};

/** How many requests an entry has that a limited upstream could serve. */
enum class RateDemand
{
  None,
  /** Fewer than an owner's part of the rate. */
  Weak,
  Strong
};

/**
 * One entry's part of the rate that an upstream takes from all entries
 * together. There is no controller: each entry computes from the roster which
 * few entries own the rate, and those divide it. docs/design/rate-limits.md has
 * the reasons and the bounds. Not thread-safe.
 */
class SharedRateLimit
{
public:
  /** The upstream that it belongs to; aUpstream: stable hash of its id. */
  void SetUpstream(std::uint64_t aUpstream, const std::string& aDataCentre);

  /**
   * Applies an answer to a request that this entry sent at aSentAt: it names
   * aRate, or no limit if empty. True if that changed the state.
   */
  bool Observe(std::optional<double> aRate,
               utils::Millis aSentAt,
               utils::Millis aNow);

  /** Applies the state that another entry holds; true if it changed this one.
   */
  bool Apply(const RateLimitState& aState, utils::Millis aNow);

  /** Applies the demand that another entry states. */
  void SetDemand(const std::string& aVm,
                 RateDemand aDemand,
                 utils::Millis aNow);

  /** Whether sends are limited now. */
  bool IsActive(utils::Millis aNow) const;

  /**
   * Whether this entry may send one request now. Counts as a request that the
   * upstream could serve.
   */
  bool MaySend(const EntryRoster& aRoster, utils::Millis aNow);
  /** The same, and counts the request as sent. */
  bool TakeSend(const EntryRoster& aRoster, utils::Millis aNow);

  /** When this entry, or another one if it has no share, may send next. */
  utils::Millis FindNextSend(const EntryRoster& aRoster, utils::Millis aNow);
  /** Whether this entry owns a part of the rate. */
  bool HasShare(const EntryRoster& aRoster, utils::Millis aNow);
  /** The part of the rate, requests a second, that callers here may expect. */
  double GetReturnRate(const EntryRoster& aRoster, utils::Millis aNow);

  const RateLimitState& GetState() const { return state_; }
  /** This entry's own demand. */
  RateDemand GetDemand(utils::Millis aNow) const;
  utils::Millis GetStateChangedAt() const { return stateChangedAt_; }
  /** When what this entry tells others last changed. */
  utils::Millis GetReportChangedAt() const;

private:
  struct OtherDemand
  {
    RateDemand demand = RateDemand::Strong;
    utils::Millis receivedAt;
  };
  /** This entry's part of the rate, requests a second. */
  struct Share
  {
    double own = 0;
    /** Requests that it may send at once. */
    double burst = 0;
    /** Entries that divide the rate, or would if it were enough for all. */
    std::size_t contenders = 1;
    utils::Millis computedAt;
  };

  void Replace(const RateLimitState& aState, utils::Millis aNow);
  /** The rate that applies now; above the named one for a while after its end.
   */
  std::optional<double> GetRate(utils::Millis aNow) const;
  RateDemand FindDemand(const std::string& aVm, utils::Millis aNow) const;
  double GetDemandRate(utils::Millis aNow) const;
  void RecordDemand(utils::Millis aNow);
  Share ComputeShare(const EntryRoster& aRoster,
                     double aRate,
                     utils::Millis aNow) const;
  bool HasToken() const;
  void Refresh(const EntryRoster& aRoster, double aRate, utils::Millis aNow);

  std::uint64_t upstream_ = 0;
  std::string dataCentre_;
  RateLimitState state_;
  utils::Millis stateChangedAt_;
  /** The last rate that was named. */
  double lastRate_ = 0;
  /** By the other entry's VM. */
  std::map<std::string, OtherDemand> demands_;
  /** Moving mean of this entry's requests a second, as of demandAt_. */
  double demandRate_ = 0;
  std::optional<utils::Millis> demandAt_;
  bool isDemandStrong_ = false;
  utils::Millis demandSince_;
  utils::Millis demandChangedAt_;
  std::optional<Share> share_;
  /** Requests that this entry may send at once. */
  double tokens_ = 0;
  utils::Millis tokensAt_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_SharedRateLimit_h
