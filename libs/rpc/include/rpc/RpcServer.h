#ifndef waxwingyoke_rpc_RpcServer_h
#define waxwingyoke_rpc_RpcServer_h

#include <functional>
#include <memory>
#include <string>

#include <net/HttpServer.h>
#include <utils/Error.h>

namespace google::protobuf {
class Message;
}

namespace waxwingyoke::rpc {

/** The path that serves JSON-RPC on a control port. */
inline constexpr const char* kRpcPath = "/rpc";

/**
 * Serves methods with typed messages as JSON-RPC 2.0 over HTTP POST. Methods
 * must be added before the first request.
 *
 *     server.Add<OffersRequest, OffersReply>("weights.offers", handler);
 */
class RpcServer
{
public:
  RpcServer();
  ~RpcServer();

  /** Adds a method. If it returns false, its error becomes the RPC error. */
  template<typename Request, typename Reply>
  void Add(const std::string& aName,
           std::function<bool(const Request&, Reply&, utils::Error&)> aMethod)
  {
    AddUntyped(
      aName,
      [] { return std::make_unique<Request>(); },
      [] { return std::make_unique<Reply>(); },
      [aMethod](
        const Message& aRequest, Message& aReply, utils::Error& aError) {
        return aMethod(static_cast<const Request&>(aRequest),
                       static_cast<Reply&>(aReply),
                       aError);
      });
  }

  /** Handles an HTTP request to kRpcPath. */
  void Handle(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);

private:
  using Message = google::protobuf::Message;
  using MessageFactory = std::function<std::unique_ptr<Message>()>;
  using Method = std::function<bool(const Message&, Message&, utils::Error&)>;

  void AddUntyped(const std::string& aName,
                  MessageFactory aMakeRequest,
                  MessageFactory aMakeReply,
                  Method aMethod);

  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace waxwingyoke::rpc

#endif // waxwingyoke_rpc_RpcServer_h
