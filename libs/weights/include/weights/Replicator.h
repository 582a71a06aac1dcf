#ifndef waxwingyoke_weights_Replicator_h
#define waxwingyoke_weights_Replicator_h

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <membership/Node.h>
#include <net/HttpClient.h>
#include <net/Router.h>
#include <net/Runtime.h>
#include <platform/LogClient.h>
#include <rpc/RpcClient.h>
#include <rpc/RpcServer.h>
#include <schema/settings.pb.h>
#include <utils/Time.h>

namespace waxwingyoke::weights {

/** The version that the engine beside this process reported as loaded. */
struct ServingState
{
  std::string profile;
  std::uint64_t revision = 0;
  /** Empty where the engine serves nothing. */
  std::string version;
};

/**
 * Distributes weights on behalf of one side: downloads the version that this
 * VM's profile names, uploads its chunks to other sides, and orders the engine
 * to load the version once every chunk is stored. The daemon owns one instance
 * per process.
 *
 * A side is the role of this process beside one upstream (the engine).
 */
class Replicator
{
public:
  /** Controls the admission of requests at this side during a switch-over. */
  struct Hooks
  {
    /** Starts refusing new requests. */
    std::function<void()> pause;
    /** Waits for running requests to end; false if some outlast the timeout. */
    std::function<bool(utils::Millis)> waitIdle;
    /** Admits requests again. */
    std::function<void()> resume;
  };

  Replicator(net::Runtime& aRuntime,
             const schema::DaemonSettings& aSettings,
             membership::Node& aNode,
             platform::LogClient& aLog,
             net::HttpClient& aHttp,
             rpc::RpcClient& aRpc,
             Hooks aHooks);
  ~Replicator();

  /** Serves chunks and manifests to peers that send the node's secret. */
  void AddRoutes(net::Router& aRouter);

  /** Serves complete versions to the engine; requires no secret. */
  void AddEngineRoutes(net::Router& aRouter);

  /** Registers the method weights.offers on the control port. */
  void AddMethods(rpc::RpcServer& aServer);

  /** Starts the fibers that download, report and switch over. */
  void Start();

  /** What the engine serves now. Lock-free; callable from any thread. */
  ServingState GetServing() const;

  /**
   * Charges bytes of live traffic to the link's budget, which delays chunk
   * transfers accordingly. Callable from any thread.
   */
  void ChargeLiveTraffic(std::size_t aBytes);

private:
  struct Impl;
  net::Runtime& runtime_;
  std::shared_ptr<Impl> impl_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Replicator_h
