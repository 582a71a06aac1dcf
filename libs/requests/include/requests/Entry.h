#ifndef waxwingyoke_requests_Entry_h
#define waxwingyoke_requests_Entry_h

#include <memory>

#include <membership/Node.h>
#include <net/HttpClient.h>
#include <net/Router.h>
#include <net/Runtime.h>
#include <platform/LogClient.h>
#include <rpc/RpcClient.h>
#include <rpc/RpcServer.h>
#include <schema/settings.pb.h>

namespace waxwingyoke::requests {

/**
 * Request handling of the entry role, the ingress proxy for callers' requests.
 * Chooses a side for each attempt, and owns retries and the claims of keyed
 * requests.
 */
class Entry
{
public:
  Entry(net::Runtime& aRuntime,
        const schema::DaemonSettings& aSettings,
        membership::Node& aNode,
        net::HttpClient& aClient,
        rpc::RpcClient& aRpc,
        platform::LogClient& aLog);
  ~Entry();

  /** Adds the HTTP routes for callers: chat completions, models, services. */
  void AddRoutes(net::Router& aRouter);

  /** Adds the RPC methods that other entries call: claims and strikes. */
  void AddMethods(rpc::RpcServer& aServer);

  void Start();

  /**
   * Whether the load balancer should send requests here: the configuration has
   * been received, every profile has a route or the grace period has passed,
   * and the entry is not draining.
   */
  bool IsReady() const;

  /**
   * Becomes unready, refuses new requests, and returns when all running ones
   * have ended.
   */
  void Drain();

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Entry_h
