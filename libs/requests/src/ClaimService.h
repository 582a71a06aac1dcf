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
 * Settles claims: hands each to the entry that ranks first for its stream
 * and has it folded already; does it here where that one does not answer.
 */
class ClaimService
{
public:
  ClaimService(membership::Node& aNode,
               rpc::RpcClient& aRpc,
               platform::LogClient& aLog);

  std::optional<schema::ClaimReply> Claim(const schema::Claim& aClaim,
                                          utils::Millis aDeadline,
                                          utils::Error& aReason);

  /** The same for another entry. */
  bool Take(const schema::ClaimRequest& aRequest,
            schema::ClaimReply& aReply,
            utils::Error& aReason);

private:
  ClaimStream& GetStream(const schema::Claim& aClaim);
  const membership::Member* FindOwner(const membership::View& aView,
                                      const std::string& aStream) const;

  membership::Node& node_;
  rpc::RpcClient& rpc_;
  /** All streams, made at the start and never changed. */
  std::map<std::string, std::unique_ptr<ClaimStream>> streams_;
  utils::Clock clock_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_ClaimService_h
