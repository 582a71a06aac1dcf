#ifndef waxwingyoke_rpc_JsonRpcBridge_h
#define waxwingyoke_rpc_JsonRpcBridge_h

#include <functional>
#include <memory>
#include <string>

// Included by C++14 and C++20 sources, so it must be valid C++14.

namespace waxwingyoke {
namespace rpc {

/** The result of a method call, on the client and on the server. */
struct BridgeResult
{
  /** 0, or the JSON-RPC error code. */
  int code = 0;
  /** The result as JSON, or the error's message. */
  std::string text;
};

/**
 * Dispatches JSON-RPC 2.0 requests to methods, using libjsonrpccpp.
 * libjsonrpccpp's types stay out of this header.
 */
class ServerBridge
{
public:
  /** Called with the params object as JSON. */
  using Method = std::function<BridgeResult(const std::string& aParams)>;

  ServerBridge();
  ~ServerBridge();

  /** Registers a method; must precede the first Process. */
  void Add(const std::string& aName, Method aMethod);

  /**
   * Returns the response to one request as JSON. For a malformed request this
   * is a JSON-RPC error.
   */
  std::string Process(const std::string& aRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** Sends a request and sets aAnswer; returns false if there is none. */
using BridgeTransport =
  std::function<bool(const std::string& aRequest, std::string& aAnswer)>;

/** The result code if the transport returned false. */
constexpr int kTransportFailed = -32099;

/** Calls a method through aTransport with aParams, a JSON object. */
BridgeResult
CallMethod(const std::string& aName,
           const std::string& aParams,
           const BridgeTransport& aTransport);

} // namespace rpc
} // namespace waxwingyoke

#endif // waxwingyoke_rpc_JsonRpcBridge_h
