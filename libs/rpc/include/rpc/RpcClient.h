#ifndef waxwingyoke_rpc_RpcClient_h
#define waxwingyoke_rpc_RpcClient_h

#include <string>

#include <net/HttpClient.h>

namespace google::protobuf {
class Message;
}

namespace waxwingyoke::rpc {

/**
 * Calls RPC methods of other processes of the deployment. May be used by
 * several fibers at once.
 */
class RpcClient
{
public:
  /** aSecret authenticates the calls. aClient must outlive this object. */
  RpcClient(net::HttpClient& aClient, std::string aSecret);

  /**
   * Calls aMethod and fills in aReply. Returns false with aReason on failure:
   * an error of the method keeps its kind, a failed connection is
   * ConnectFailed, ConnectionLost or TimedOut, and an HTTP status other than
   * 200 is Unauthorized. A body that a link changed is never used: a damaged
   * request fails with DigestMismatch and reaches no method, a damaged reply
   * is ConnectionLost.
   */
  bool Call(const net::Endpoint& aPeer,
            const std::string& aMethod,
            const google::protobuf::Message& aRequest,
            google::protobuf::Message& aReply,
            const net::CallTimeouts& aTimeouts,
            utils::Error& aReason) const;

private:
  net::HttpClient& client_;
  std::string secret_;
};

} // namespace waxwingyoke::rpc

#endif // waxwingyoke_rpc_RpcClient_h
