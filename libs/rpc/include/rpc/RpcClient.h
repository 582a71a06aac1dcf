#ifndef waxwingyoke_rpc_RpcClient_h
#define waxwingyoke_rpc_RpcClient_h

#include <string>

#include <net/HttpClient.h>

namespace google::protobuf {
class Message;
}

namespace waxwingyoke::rpc {

/** Calls methods of other processes of ours; shared by all fibers. */
class RpcClient
{
public:
  /** aClient must outlive this. */
  RpcClient(net::HttpClient& aClient, std::string aSecret);

  /**
   * Calls aMethod and fills in aReply. An error of the method arrives with
   * its kind; one of the way there is ConnectFailed, ConnectionLost or
   * TimedOut.
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
