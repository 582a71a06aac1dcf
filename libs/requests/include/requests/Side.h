#ifndef waxwingyoke_requests_Side_h
#define waxwingyoke_requests_Side_h

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <membership/Node.h>
#include <net/HttpClient.h>
#include <net/Router.h>
#include <net/Runtime.h>
#include <rpc/RpcServer.h>
#include <schema/settings.pb.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

/** What a side's upstream serves now; nothing while the profile is empty. */
struct Serving
{
  std::string profile;
  std::uint64_t revision = 0;
  /** Version of the weights; empty for a plain service. */
  std::string version;
};

/**
 * Handles requests in the side role, the sidecar beside one upstream: receives
 * attempts from entries, runs them on the upstream under admission control and
 * holds their answers until they are delivered.
 *
 * A side is the only authority on whether an attempt began on it. A query for
 * an attempt that it has not received bars the attempt, so that the result "not
 * run" stays true.
 */
class Side
{
public:
  /** Called for every attempt, on any thread; must not lock. */
  using ServingHook = std::function<Serving()>;

  Side(net::Runtime& aRuntime,
       const schema::DaemonSettings& aSettings,
       membership::Node& aNode,
       net::HttpClient& aClient,
       ServingHook aServing);
  ~Side();

  /** Called with the size of the body of each attempt that begins, on any
   * thread. To be set before Start. */
  using BytesHook = std::function<void(std::size_t aBytes)>;
  void OnLiveBytes(BytesHook aHook);

  /** Adds POST /attempts and /attempts/attach to the control port. */
  void AddRoutes(net::Router& aRouter);

  /** Adds the RPC methods attempt.ask and attempt.bar. */
  void AddMethods(rpc::RpcServer& aServer);

  /** Starts a fiber that polls the upstream's incarnation. */
  void Start();

  /** Refuses new and waiting attempts as "not run" until Resume. */
  void Pause();
  void Resume();

  /** Waits up to aTimeout; true once no attempt runs or waits. */
  bool WaitIdle(utils::Millis aTimeout);

  /** Refuses new attempts for good; returns when all others have ended and
   * their answers are delivered. */
  void Drain();

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Side_h
