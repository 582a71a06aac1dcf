#ifndef waxwingyoke_requests_RequestRun_h
#define waxwingyoke_requests_RequestRun_h

#include <cstddef>
#include <string>
#include <vector>

#include "EntryImpl.h"

namespace waxwingyoke::requests {

/** Serves one caller's request: attempt after attempt until one is whole. */
class RequestRun
{
public:
  RequestRun(Entry::Impl& aEntry,
             const CallerRequest& aRequest,
             std::string aTraceparent,
             net::ResponseWriter& aWriter);

  void Run();

private:
  /** Whether the request is answered, one way or the other. */
  bool TryOnce();
  bool Conclude(const routing::Candidate& aCandidate,
                const AttemptResult& aResult);
  bool Fail();
  /** Whether the attempt may run; else what to do is done. */
  enum class Claimed
  {
    Granted,
    Answered,
    Again
  };
  Claimed ClaimKey(const schema::AttemptRequest& aAttempt,
                   const routing::Candidate& aCandidate);
  Claimed FollowRepeat(const schema::Claim& aClaim);
  bool IsKeyed() const { return request_.key && !idempotent_; }
  const routing::Candidate* Choose(const routing::Candidates& aCandidates);
  schema::AttemptRequest MakeAttempt(const routing::Candidate& aCandidate);
  AttemptResult Send(const routing::Candidate& aCandidate,
                     const schema::AttemptRequest& aAttempt);
  void Learn(const routing::Candidate& aCandidate,
             const AttemptResult& aResult);
  bool MayGoOn(const routing::Candidate& aCandidate,
               const AttemptResult& aResult);
  void LearnStrike(const AttemptResult& aResult);

  Entry::Impl& entry_;
  const CallerRequest& request_;
  std::string traceparent_;
  CallerSink sink_;
  utils::Clock clock_;
  utils::Millis deadline_;
  schema::Profile profile_;
  bool idempotent_ = false;
  bool mayHaveRun_ = false;
  std::vector<std::string> excluded_;
  /** Version of what the caller was given; a resumed stream keeps to it. */
  std::string version_;
  /** The attempt that holds the key's claim and is known not to have run. */
  std::string replaces_;
  utils::Error error_;
  utils::Millis retryAfter_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_RequestRun_h
