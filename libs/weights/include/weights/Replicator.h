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

/** What the engine beside this process reported as loaded. */
struct ServingState
{
  std::string profile;
  std::uint64_t revision = 0;
  /** Empty: nothing is served. */
  std::string version;
};

/**
 * A side's share in the spreading of weights: fetches the version that the
 * profile of this VM names, gives its chunks to other sides, and orders the
 * engine to load the version once it is whole. Owned by the daemon, one a
 * process.
 */
class Replicator
{
public:
  /** Admission of requests at this side, around a switch-over. */
  struct Hooks
  {
    /** Refuses new requests. */
    std::function<void()> pause;
    /** Waits for the running ones to end; false if some still run. */
    std::function<bool(utils::Millis)> waitIdle;
    /** Takes requests again. */
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

  /** Chunks and manifests for peers, behind the deployment's secret. */
  void AddRoutes(net::Router& aRouter);

  /** Whole versions only, without a secret, for the engine beside. */
  void AddEngineRoutes(net::Router& aRouter);

  /** Adds weights.offers to the control port. */
  void AddMethods(rpc::RpcServer& aServer);

  /** Starts the fibers. */
  void Start();

  /** Takes no lock on the way; safe from every thread. */
  ServingState GetServing() const;

  /**
   * Takes bytes of live traffic out of the link's budget, so that chunks
   * make room for it. Safe from every thread.
   */
  void ChargeLive(std::size_t aBytes);

private:
  struct Impl;
  net::Runtime& runtime_;
  std::shared_ptr<Impl> impl_;
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_Replicator_h
