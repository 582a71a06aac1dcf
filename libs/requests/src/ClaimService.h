#ifndef waxwingyoke_requests_ClaimService_h
#define waxwingyoke_requests_ClaimService_h

#include <map>
#include <memory>
#include <optional>
#include <string>

#include <membership/Node.h>
#include <platform/LogClient.h>
#include <rpc/RpcClient.h>
#include <schema/requests.pb.h>
#include <utils/Error.h>
#include <utils/Time.h>

#include "ClaimStream.h"

namespace waxwingyoke::requests {

/**
 * Resolves the claims of keyed requests. Forwards each claim to the entry that
 * owns its stream, which holds the stream's claims already; appends and reads
 * the stream in this process if that entry does not answer. The owner is the
 * first entry by rendezvous rank.
 */
class ClaimService
{
public:
  ClaimService(membership::Node& aNode,
               rpc::RpcClient& aRpc,
               platform::LogClient& aLog);

  /**
   * The verdict on the claim. Empty with LogUnavailable or KeyExpired; then the
   * request must not run.
   */
  std::optional<schema::ClaimReply> Claim(const schema::Claim& aClaim,
                                          utils::Millis aDeadline,
                                          utils::Error& aReason);

  /** Resolves a claim that another entry forwarded. */
  bool HandleClaim(const schema::ClaimRequest& aRequest,
                   schema::ClaimReply& aReply,
                   utils::Error& aReason);

private:
  ClaimStream& GetStream(const schema::Claim& aClaim);
  /** Null if this entry owns the stream. */
  const membership::Member* FindStreamOwner(const membership::View& aView,
                                            const std::string& aStream) const;

  membership::Node& node_;
  rpc::RpcClient& rpc_;
  /** All streams; not changed after construction, so read without a lock. */
  std::map<std::string, std::unique_ptr<ClaimStream>> streams_;
  utils::Clock clock_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_ClaimService_h
