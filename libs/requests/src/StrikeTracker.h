#ifndef waxwingyoke_requests_StrikeTracker_h
#define waxwingyoke_requests_StrikeTracker_h

#include <string>

#include <membership/Node.h>
#include <platform/LogClient.h>
#include <rpc/RpcClient.h>
#include <schema/requests.pb.h>
#include <utils/Time.h>

#include "SuspectRegistry.h"

namespace waxwingyoke::requests {

/**
 * Distributes the strikes that sides report for requests that crash upstreams.
 * Sends each strike to the other entries. Also appends a conviction to the log
 * as a quarantine, so that every process refuses the request. Thread-safe.
 */
class StrikeTracker
{
public:
  StrikeTracker(membership::Node& aNode,
                rpc::RpcClient& aRpc,
                platform::LogClient& aLog,
                const utils::Clock& aClock = utils::Clock());

  Suspicion Find(const std::string& aDigest) const;

  /**
   * Records a strike, or clears the request with NO_STRIKE, and notifies the
   * other entries. Returns when all have answered, after 500 ms at most.
   */
  void Report(const std::string& aDigest, schema::Strike aStrike);

  /** Applies a strike that another entry sent. */
  void HandleNotice(const schema::StrikeNotice& aNotice);

private:
  void NotifyEntries(const schema::StrikeNotice& aNotice);
  /**
   * Appends the quarantine record. Until it is in the log, renews the
   * conviction at all entries; gives up after an hour or more.
   */
  void Quarantine(const std::string& aDigest);

  membership::Node& node_;
  rpc::RpcClient& rpc_;
  platform::LogClient& log_;
  SuspectRegistry suspects_;
  utils::Clock clock_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_StrikeTracker_h
