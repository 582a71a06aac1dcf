#ifndef waxwingyoke_requests_StrikeTracker_h
#define waxwingyoke_requests_StrikeTracker_h

#include <string>

#include <membership/Node.h>
#include <platform/LogClient.h>
#include <rpc/RpcClient.h>
#include <schema/requests.pb.h>
#include <utils/Time.h>

#include "Suspects.h"

namespace waxwingyoke::requests {

/**
 * Spreads what sides judge of requests: a strike to the other entries, a
 * conviction also to the log, whence every process refuses the request.
 */
class StrikeTracker
{
public:
  StrikeTracker(membership::Node& aNode,
                rpc::RpcClient& aRpc,
                platform::LogClient& aLog);

  Suspicion Find(const std::string& aDigest) const;

  /** Returns when the other entries were told, as far as they answer. */
  void Report(const std::string& aDigest, schema::Strike aStrike);

  /** Another entry's report. */
  void Take(const schema::StrikeNotice& aNotice);

private:
  void TellEntries(const schema::StrikeNotice& aNotice);
  void Quarantine(const std::string& aDigest);

  membership::Node& node_;
  rpc::RpcClient& rpc_;
  platform::LogClient& log_;
  Suspects suspects_;
  utils::Clock clock_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_StrikeTracker_h
