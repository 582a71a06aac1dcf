#ifndef waxwingyoke_requests_ClaimStream_h
#define waxwingyoke_requests_ClaimStream_h

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <platform/LogClient.h>
#include <schema/requests.pb.h>
#include <utils/Error.h>
#include <utils/Time.h>

#include "ClaimFold.h"

namespace waxwingyoke::requests {

/**
 * Appends claims to one log stream and reads back which claims are in force.
 *
 * Claims that arrive while an append is in progress are batched into the next
 * one. Only the log's order decides, so any number of entries may append to a
 * stream. Usable by any number of fibers at once.
 */
class ClaimStream
{
public:
  ClaimStream(platform::LogClient& aLog, std::string aStream);

  /**
   * The verdict on the claim, and the claim in force for its key, once the log
   * contains the claim. A claim whose verdict an earlier record determines is
   * not appended. Empty with LogUnavailable or KeyExpired; then the request
   * must not run. Suspends the calling fiber.
   */
  std::optional<schema::ClaimReply> Claim(const schema::Claim& aClaim,
                                          utils::Millis aDeadline,
                                          utils::Error& aReason);

private:
  struct PendingClaim
  {
    schema::Claim claim;
    /** If the log is still failing then, the claim fails as not run. */
    utils::Millis giveUpAt;
    /** Set by the committing fiber; done publishes it under mutex_. */
    bool settled = false;
    bool done = false;
    std::optional<schema::ClaimReply> reply;
    utils::Error error;
  };
  using PendingList = std::vector<std::shared_ptr<PendingClaim>>;
  using Lock = std::unique_lock<boost::fibers::mutex>;

  /** Commits all pending claims; leaves unsettled ones pending. */
  void Commit();
  void CommitBatch(const PendingList& aBatch);
  bool Append(const PendingList& aBatch, utils::Error& aReason);
  /** Reads the stream to its end into the fold. */
  bool CatchUp(utils::Error& aReason);
  void Settle(PendingClaim& aPending);
  /** Fails claims past giveUpAt; the others stay pending for the next try. */
  void FailExpired(const PendingList& aBatch, const utils::Error& aError);
  /** Settles claims that need no append; returns the others. */
  PendingList SettleWithoutAppend(const PendingList& aBatch);

  platform::LogClient& log_;
  std::string stream_;
  utils::Clock clock_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  PendingList pending_;
  bool committing_ = false;
  /** Used by the committing fiber only. */
  ClaimFold fold_;
  utils::Millis lastCommitAt_;
  std::uint64_t commits_ = 0;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_ClaimStream_h
