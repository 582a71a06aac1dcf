#ifndef waxwingyoke_dispatch_UpstreamHealth_h
#define waxwingyoke_dispatch_UpstreamHealth_h

#include <optional>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** How an upstream handled one request. */
enum class Outcome
{
  Served,
  /** It answered with an error of its own, or aborted its answer. */
  Failed,
  /** No connection could be opened, or no answer arrived. */
  Unreachable,
  /** It rejected the request without running it; not counted as a failure. */
  Refused
};

/**
 * Passive health check of one upstream: ejects it for a limited time after
 * failures, with exponential backoff for repeated ejections. After an ejection
 * the failed share stands at the ejection threshold, so that the next failure
 * ejects again. Not thread-safe.
 */
class UpstreamHealth
{
public:
  void RecordOutcome(Outcome aOutcome, utils::Millis aNow);

  /**
   * Excludes the upstream until aTime without recording a failure, e.g. after
   * it rejected a request without running it.
   */
  void AvoidUntil(utils::Millis aTime);

  /** Records that it answered, or went on answering, a request. */
  void RecordActivity(utils::Millis aNow);

  /**
   * Records that a request has received nothing from it since aSince. Excludes
   * it for a moment, as a sound upstream may be silent for a second or so;
   * counts as Unreachable once it has sent nothing to any request for longer.
   */
  void RecordSilence(utils::Millis aSince, utils::Millis aNow);

  /** Whether it has sent anything to any request since aTime. */
  bool HasBeenActiveSince(utils::Millis aTime) const
  {
    return activeAt_ > aTime;
  }

  /**
   * Records that another upstream was chosen for a request that has received
   * nothing since aSince. Counts as Failed if others have received something
   * after aSilenceTimeout of that: then the request hangs there, otherwise the
   * upstream is silent to all.
   */
  void RecordHang(utils::Millis aSince,
                  utils::Millis aSilenceTimeout,
                  utils::Millis aNow);

  /** Whether requests may be sent there; false while ejected. */
  bool IsUsable(utils::Millis aNow) const;

  /** Moving share of failed requests, 0 to 1. */
  double GetFailedShare() const { return failedShare_; }

private:
  void Eject(utils::Millis aNow);

  double failedShare_ = 0;
  int samples_ = 0;
  int unreachableInARow_ = 0;
  int ejections_ = 0;
  utils::Millis usableFrom_;
  utils::Millis activeAt_;
  /** Since when it has been silent; empty if it was active after that. */
  std::optional<utils::Millis> silentSince_;
  utils::Millis silenceRecordedAt_;
  /** Excluded for its silence until then, or until it is active. */
  utils::Millis silentUntil_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_UpstreamHealth_h
