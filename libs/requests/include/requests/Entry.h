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
 * The entry's part in requests: takes callers' requests, picks a side for
 * each attempt, and owns retries and the claims of keyed requests.
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

  /** Adds the callers' paths: chat completions, models, services. */
  void AddRoutes(net::Router& aRouter);

  /** Adds what entries and sides ask an entry: claims and strikes. */
  void AddMethods(rpc::RpcServer& aServer);

  void Start();

  /** Whether the balancer should send requests here: profiles are known
   * and it does not leave. */
  bool IsReady() const;

  /** Turns unready, refuses what is new, returns when all is answered. */
  void Drain();

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Entry_h
