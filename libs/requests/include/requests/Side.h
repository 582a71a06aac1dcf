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

/** What a side's upstream serves; nothing while the profile is empty. */
struct Serving
{
  std::string profile;
  std::uint64_t revision = 0;
  /** Empty for a plain service. */
  std::string version;
};

/**
 * The side's part in requests: takes attempts from entries, admits them to
 * the upstream beside it and keeps their answers until they are delivered.
 *
 * It alone says whether an attempt began here; asked about one that it never
 * saw, it bars it first.
 */
class Side
{
public:
  /** Called on every attempt by any thread; takes no lock. */
  using ServingHook = std::function<Serving()>;

  Side(net::Runtime& aRuntime,
       const schema::DaemonSettings& aSettings,
       membership::Node& aNode,
       net::HttpClient& aClient,
       ServingHook aServing);
  ~Side();

  /** Called with the bytes of each part that goes to or comes from an entry,
   * on any thread; before Start only. */
  using BytesHook = std::function<void(std::size_t aBytes)>;
  void OnLiveBytes(BytesHook aHook);

  /** Adds POST /attempts and /attempts/attach to the control port. */
  void AddRoutes(net::Router& aRouter);

  /** Adds attempt.ask and attempt.bar. */
  void AddMethods(rpc::RpcServer& aServer);

  void Start();

  /** Refuses new attempts, "not run", until Resume. */
  void Pause();
  void Resume();

  /** Whether nothing runs, waiting up to aTimeout for that. */
  bool WaitIdle(utils::Millis aTimeout);

  /** Refuses new attempts for good; returns when all that run are done. */
  void Drain();

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Side_h
