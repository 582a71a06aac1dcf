#ifndef waxwingyoke_dispatch_CrashTracker_h
#define waxwingyoke_dispatch_CrashTracker_h

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <dispatch/PartQuarantine.h>
#include <dispatch/SoundParts.h>
#include <dispatch/SurvivalCounter.h>
#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/**
 * An upstream that crashes later than this after a request's first event did
 * not crash because of that request.
 */
inline constexpr utils::Millis kCrashWindow{ 1000 };

/** A request that may be why an upstream crashed. */
struct CrashReport
{
  /** Digest of the request: the same for each retry, at any entry. */
  std::uint64_t request = 0;
  /** Stable hash of the upstream's incarnation. */
  std::uint64_t upstream = 0;
  /** Stable hashes of the prompt's parts that other requests may share. */
  std::vector<std::uint64_t> parts;
  utils::Millis crashedAt;
  /** The upstream had begun to answer it. */
  bool hasBegun = false;
};

/**
 * Finds out which requests, and which parts of prompts, crash upstreams.
 *
 * A crash breaks off many requests, most of which are not its cause. A request
 * is quarantined while two crashes are explained by nothing else, a part once
 * it explains several crashes best and no request with it has survived
 * meanwhile; see docs/design/platform.md. All entries exchange what they
 * observed. Not thread-safe.
 */
class CrashTracker
{
public:
  /** Records a report of another entry. */
  void RecordCrash(CrashReport aReport, utils::Millis aNow);

  /** Records a report of this entry, which is listed for the other entries. */
  void RecordOwnCrash(CrashReport aReport, utils::Millis aNow);

  /**
   * Records that a request ran without a crash: neither it nor its parts are
   * the cause of any.
   */
  void RecordSurvival(std::uint64_t aRequest,
                      const std::vector<std::uint64_t>& aParts,
                      utils::Millis aNow);

  /** Applies another entry's report that a request with the part survived. */
  void ApplySoundPart(const SoundPart& aPart, utils::Millis aNow);

  /**
   * Quarantines the parts that the crashes known so far are to be blamed on.
   * Returns them; to be called a few times a second.
   */
  std::vector<QuarantinedPart> Evaluate(utils::Millis aNow);

  bool IsRequestQuarantined(std::uint64_t aRequest, utils::Millis aNow) const;

  /** Whether another survival of the request would tell nothing new. */
  bool IsKnownSound(std::uint64_t aRequest,
                    const std::vector<std::uint64_t>& aParts,
                    utils::Millis aNow) const;

  /** Parts whose quarantine ended early, since the last call. */
  std::vector<std::uint64_t> TakeReleased();

  /** How many requests ran without a crash, at all entries. */
  SurvivalCounter& GetSurvivals() { return survivals_; }
  const SurvivalCounter& GetSurvivals() const { return survivals_; }

  /** The parts that are quarantined, for all requests. */
  PartQuarantine& GetQuarantine() { return quarantine_; }
  const PartQuarantine& GetQuarantine() const { return quarantine_; }

  /** This entry's reports since then, for the other entries. */
  std::vector<CrashReport> ListReportsSince(utils::Millis aSince) const;

  /** The parts in crashes that are sound, for the other entries. */
  std::vector<SoundPart> ListSoundSince(utils::Millis aSince) const;

private:
  /** One upstream's crash and the requests that may be its cause. */
  struct Crash
  {
    struct Request
    {
      std::vector<std::uint64_t> parts;
      bool hasBegun = false;
    };

    utils::Millis at;
    std::unordered_map<std::uint64_t, Request> requests;
    /** Requests reported so far; those removed from requests still count. */
    std::size_t reports = 0;
  };
  /** What one part may be the cause of: upstreams by the time of their crash.
   */
  struct Suspect
  {
    std::map<std::uint64_t, utils::Millis> crashes;
    /** Those in which a request with the part had begun to be answered. */
    std::set<std::uint64_t> begunCrashes;
    std::set<std::uint64_t> requests;

    /** Whether it ran in all of the other one's crashes. */
    bool Covers(const Suspect& aOther) const;
    /** Whether it is more likely to be the cause. */
    bool IsWorse(const Suspect& aOther) const;
  };
  using Suspects = std::unordered_map<std::uint64_t, Suspect>;

  static bool HasPart(const Crash& aCrash, std::uint64_t aPart);
  void RemoveExpired(utils::Millis aNow);
  void ReleaseIfSound(const SoundPart& aPart, utils::Millis aNow);
  bool WasSound(std::uint64_t aPart, utils::Millis aNow) const;
  void AnnounceIfSound(std::uint64_t aPart, utils::Millis aNow);
  bool IsExplained(const Crash& aCrash) const;
  void AddToSuspects(std::uint64_t aUpstream,
                     const Crash& aCrash,
                     Suspects& aSuspects) const;
  Suspects CollectSuspects(utils::Millis aNow) const;
  double GetCoverage(const Suspect& aSuspect, utils::Millis aNow) const;
  double EstimateCrashShare(const Suspect& aSuspect, utils::Millis aNow) const;
  bool IsCoincidence(const Suspects& aSuspects,
                     const Suspect& aSuspect,
                     std::size_t aRounds,
                     utils::Millis aNow) const;
  Suspect LeaveUnexplained(const Suspects& aSuspects,
                           const Suspect& aSuspect,
                           utils::Millis aNow) const;
  std::optional<utils::Millis> WeighEvidence(const Suspects& aSuspects,
                                             std::uint64_t aPart,
                                             utils::Millis aNow) const;
  bool IsAmbiguous(const Suspects& aSuspects,
                   std::uint64_t aPart,
                   const Suspect& aSuspect) const;
  std::optional<QuarantinedPart> QuarantineWorst(utils::Millis aNow);
  std::optional<QuarantinedPart> QuarantineAgain(utils::Millis aNow);
  bool HasHelped(const QuarantinedPart& aPart, utils::Millis aNow) const;
  std::vector<QuarantinedPart> Confirm(utils::Millis aNow);
  void ReleaseExplained(utils::Millis aNow);

  std::map<std::uint64_t, Crash> crashes_;
  std::deque<CrashReport> ownReports_;
  /** What crashes_ names, or has named since it was last empty. */
  std::unordered_set<std::uint64_t> suspectParts_;
  std::unordered_set<std::uint64_t> suspectRequests_;
  SoundParts sound_;
  SurvivalCounter survivals_;
  PartQuarantine quarantine_;
  /** When other entries were last told that a part is sound. */
  std::unordered_map<std::uint64_t, utils::Millis> announcedAt_;
  std::vector<std::uint64_t> released_;
  utils::Millis lastRecordedAt_;
  utils::Millis evaluatedAt_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_CrashTracker_h
