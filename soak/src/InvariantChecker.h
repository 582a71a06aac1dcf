#ifndef waxwingyoke_soak_InvariantChecker_h
#define waxwingyoke_soak_InvariantChecker_h

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <utils/Time.h>

#include "VersionLimitCheck.h"

namespace waxwingyoke::soak {

/** The routes of the deployment that callers use. */
enum class RouteKind
{
  Stream,
  Once,
  Safe
};

/** The path prefix of a route. */
const char*
GetPath(RouteKind aKind);

/** One request and the answer that its caller received. */
struct Attempt
{
  std::string id;
  RouteKind route = RouteKind::Safe;
  std::string key;
  std::size_t entry = 0;
  utils::Millis sentAt;
  utils::Millis endedAt;
  /** 0: no answer, or a truncated one. */
  int status = 0;
  std::string body;
};

/** The time during which a fault was active. */
struct FaultPeriod
{
  std::string what;
  utils::Millis begin;
  utils::Millis end;
  /** Whether it affects the requests of one daemon only. */
  bool isOfProcess = false;
};

/** A time in which an upstream was silent in answers, or broke them off. */
struct UpstreamPeriod
{
  std::string upstream;
  utils::Millis begin;
  utils::Millis end;
};

/** A time in which an upstream named a rate limit. */
struct LimitedPeriod
{
  /** All of the upstream's arrivals, also after this period. */
  const std::vector<adapter::Arrival>& arrivals;
  /** Requests a second. */
  double rate = 0;
  utils::Millis begin;
  utils::Millis end;
};

/**
 * Checks the system's guarantees against the records of callers and upstreams:
 * answers are complete, an unsafe request runs at most once, a refused request
 * has not run, a revoked key runs nothing after its bound, and a graceful stop
 * cuts no request.
 */
class InvariantChecker
{
public:
  /** Counts the runs of an attempt at all upstreams together. */
  using RunCounter = std::function<int(const std::string& aId)>;

  explicit InvariantChecker(RunCounter aCountRuns)
    : countRuns_(std::move(aCountRuns))
  {
  }

  /** Records a request, and checks that its answer is complete. */
  void RecordAttempt(const Attempt& aAttempt);
  /** Records when aKey was revoked; only the first time counts. */
  void RecordRevocation(const std::string& aKey, utils::Millis aNow);
  void RecordFault(const FaultPeriod& aFault) { faults_.push_back(aFault); }
  /** Records when entry number aEntry received SIGTERM. */
  void RecordStop(std::size_t aEntry, utils::Millis aNow);
  void RecordRateLimit(const LimitedPeriod& aLimit)
  {
    rateLimits_.push_back(aLimit);
  }
  void RecordSilence(const UpstreamPeriod& aPeriod)
  {
    silences_.push_back(aPeriod);
  }
  void RecordBreak(const UpstreamPeriod& aPeriod)
  {
    breaks_.push_back(aPeriod);
  }
  /** Records when an upstream took requests, but kept them waiting. */
  void RecordHold(const FaultPeriod& aPeriod) { holds_.push_back(aPeriod); }
  void AddViolation(const std::string& aText);

  /** Checks all starts of the engines; call once, after the last request. */
  void CheckVersionLimit(const VersionLimitCheck& aLimit,
                         const std::vector<EngineRecords>& aEngines);

  /**
   * Checks that entries that ran undisturbed together sent no upstream more
   * than its rate limit allows; call once, after the last request.
   */
  void CheckRateLimits(const VersionLimitCheck& aStability);

  /**
   * Checks that no request failed for a silence: one without another fault that
   * ran at an upstream that broke nothing off has its answer, and one that ran
   * nowhere was refused, unless an upstream kept it waiting. Returns how many
   * of the requests checked began to run while their upstream was silent; call
   * once, after the last request.
   */
  int CheckSilences(const VersionLimitCheck& aStability,
                    const std::vector<EngineRecords>& aUpstreams);

  /** Checks all other guarantees; call once, after the last request. */
  void CheckAtEnd();

  const std::vector<std::string>& GetViolations() const { return violations_; }
  /** Number of requests that ended with aStatus. */
  int Count(int aStatus) const;
  std::size_t GetAttempts() const { return attempts_.size(); }

private:
  struct UpstreamRun
  {
    std::string upstream;
    utils::Millis at;
  };

  void CheckComplete(const Attempt& aAttempt);
  void CheckRevoked(const Attempt& aAttempt);
  void CheckGracefulStop(const Attempt& aAttempt);
  std::map<std::string, std::size_t> MapEntries() const;
  bool OverlapsFault(utils::Millis aFrom, utils::Millis aTo) const;
  /** The same, of faults that affect requests of all entries. */
  bool OverlapsCommonFault(utils::Millis aFrom, utils::Millis aTo) const;
  /** Whether the run could end within the request's time, and nothing broke. */
  bool IsSoundRun(const UpstreamRun& aRun, const Attempt& aAttempt) const;
  bool MeetsSilence(const UpstreamRun& aRun) const;
  /** Whether something else than a silence may have failed the request. */
  bool IsExemptFromSilences(const Attempt& aAttempt,
                            const std::vector<UpstreamRun>& aRuns,
                            const VersionLimitCheck& aStability) const;
  static std::string Describe(const Attempt& aAttempt,
                              const std::vector<UpstreamRun>& aRuns);

  struct Stop
  {
    std::size_t entry;
    utils::Millis at;
  };

  RunCounter countRuns_;
  std::vector<Attempt> attempts_;
  std::map<std::string, utils::Millis> revokedAt_;
  std::vector<FaultPeriod> faults_;
  std::vector<LimitedPeriod> rateLimits_;
  std::vector<UpstreamPeriod> silences_;
  std::vector<UpstreamPeriod> breaks_;
  std::vector<FaultPeriod> holds_;
  std::vector<Stop> stops_;
  std::vector<std::string> violations_;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_InvariantChecker_h
