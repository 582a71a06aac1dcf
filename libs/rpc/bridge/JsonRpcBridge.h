#ifndef waxwingyoke_rpc_JsonRpcBridge_h
#define waxwingyoke_rpc_JsonRpcBridge_h

#include <functional>
#include <memory>
#include <string>

// Read by C++14 and C++20 sources alike, so it keeps to C++14.

namespace waxwingyoke {
namespace rpc {

/** What a method came to, either side of the wire. */
struct BridgeResult
{
  /** 0, or the JSON-RPC error code. */
  int code = 0;
  /** The result as JSON, or the error's message. */
  std::string text;
};

/** JSON-RPC 2.0 requests in, answers out, by libjsonrpccpp. */
class ServerBridge
{
public:
  /** Takes the params object as JSON. */
  using Method = std::function<BridgeResult(const std::string& aParams)>;

  ServerBridge();
  ~ServerBridge();

  void Add(const std::string& aName, Method aMethod);

  /** The answer to one request; anything malformed is answered as such. */
  std::string Process(const std::string& aRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** Sends a request's text and puts the answer's; false if it got none. */
using BridgeTransport =
  std::function<bool(const std::string& aRequest, std::string& aAnswer)>;

/** The code that stands for a transport that got no answer. */
constexpr int kTransportFailed = -32099;

/** One call of a method through aTransport. */
BridgeResult
CallMethod(const std::string& aName,
           const std::string& aParams,
           const BridgeTransport& aTransport);

} // namespace rpc
} // namespace waxwingyoke

#endif // waxwingyoke_rpc_JsonRpcBridge_h
