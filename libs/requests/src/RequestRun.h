#ifndef waxwingyoke_requests_RequestRun_h
#define waxwingyoke_requests_RequestRun_h

#include <cstddef>
#include <string>
#include <vector>

#include "EntryImpl.h"

namespace waxwingyoke::requests {

/**
 * Serves one caller's request: sends attempts to sides until one returns a
 * complete answer or no retry is allowed. Used by one fiber.
 */
class RequestRun
{
public:
  RequestRun(Entry::Impl& aEntry,
             const CallerRequest& aRequest,
             std::string aTraceparent,
             net::ResponseWriter& aWriter);

  void Run();

private:
  /** True once the caller has an answer or an error; else retry. */
  bool RunAttempt();
  bool HandleResult(const routing::Candidate& aCandidate,
                    const AttemptResult& aResult);
  /** Sends error_ to the caller; returns true. */
  bool Fail();
  enum class ClaimOutcome
  {
    /** The attempt may run. */
    Granted,
    /** The caller already has an answer or an error. */
    Answered,
    /** Claim again with a new attempt. */
    Retry
  };
  ClaimOutcome ClaimKey(const schema::AttemptRequest& aAttempt,
                        const routing::Candidate& aCandidate);
  ClaimOutcome FollowEarlierAttempt(const schema::Claim& aClaim);
  bool IsKeyed() const { return request_.key && !idempotent_; }
  const routing::Candidate* Choose(const routing::Candidates& aCandidates);
  schema::AttemptRequest MakeAttempt(const routing::Candidate& aCandidate);
  AttemptResult Send(const routing::Candidate& aCandidate,
                     const schema::AttemptRequest& aAttempt);
  void RecordResult(const routing::Candidate& aCandidate,
                    const AttemptResult& aResult);
  /**
   * Whether the request may be retried. If so, excludes the failed side or, if
   * the side has a newer profile revision, waits for that revision.
   */
  bool PrepareRetry(const routing::Candidate& aCandidate,
                    const AttemptResult& aResult);
  void ReportStrike(const AttemptResult& aResult);

  Entry::Impl& entry_;
  const CallerRequest& request_;
  std::string traceparent_;
  CallerSink sink_;
  utils::Clock clock_;
  utils::Millis deadline_;
  schema::Profile profile_;
  bool idempotent_ = false;
  bool mayHaveRun_ = false;
  /** Incarnations of sides that must not be chosen again. */
  std::vector<std::string> excluded_;
  /** Version of the data sent so far; a resumed stream must match it. */
  std::string version_;
  /** The attempt that holds the key's claim and has not run. */
  std::string replacedAttempt_;
  utils::Error error_;
  utils::Millis retryAfter_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_RequestRun_h
