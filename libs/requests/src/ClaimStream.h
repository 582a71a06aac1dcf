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
 * Appends claims to one stream of the log and reads back what is in force.
 *
 * Claims that come while an append is under way go into the next one
 * together. Only the log's order decides: any number of entries may append
 * to one stream.
 */
class ClaimStream
{
public:
  ClaimStream(platform::LogClient& aLog, std::string aStream);

  /**
   * What is in force for the claim's key once the claim stands in the log,
   * or already stood. Empty with LogUnavailable, KeyExpired: whoever asks
   * must not run the request.
   */
  std::optional<schema::ClaimReply> Claim(const schema::Claim& aClaim,
                                          utils::Millis aDeadline,
                                          utils::Error& aReason);

private:
  struct Pending
  {
    schema::Claim claim;
    /** Refused, "not run", where the log did not take it by then. */
    utils::Millis giveUpAt;
    /** Set by the fiber that commits, told to the waiting one by done. */
    bool settled = false;
    bool done = false;
    std::optional<schema::ClaimReply> reply;
    utils::Error error;
  };
  using PendingList = std::vector<std::shared_ptr<Pending>>;
  using Lock = std::unique_lock<boost::fibers::mutex>;

  void Commit();
  void CommitBatch(const PendingList& aBatch);
  bool Append(const PendingList& aBatch, utils::Error& aReason);
  bool CatchUp(utils::Error& aReason);
  void Settle(Pending& aPending);
  /** Fails what has waited long enough; the rest waits for another try. */
  void FailOverdue(const PendingList& aBatch, const utils::Error& aError);
  PendingList SettleKnown(const PendingList& aBatch);

  platform::LogClient& log_;
  std::string stream_;
  utils::Clock clock_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  PendingList pending_;
  bool committing_ = false;
  /** Used by the one fiber that commits. */
  ClaimFold fold_;
  utils::Millis lastTry_;
  std::uint64_t tries_ = 0;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_ClaimStream_h
