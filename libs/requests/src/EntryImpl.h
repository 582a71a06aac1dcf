#ifndef waxwingyoke_requests_EntryImpl_h
#define waxwingyoke_requests_EntryImpl_h

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <requests/Entry.h>
#include <routing/Candidate.h>
#include <routing/Chooser.h>
#include <schema/requests.pb.h>
#include <utils/RcuCell.h>

#include "AttemptCall.h"
#include "CallerRequest.h"
#include "CallerSink.h"
#include "ClaimService.h"
#include "RetryBudget.h"
#include "StrikeTracker.h"

namespace waxwingyoke::requests {

/** State of an entry; its handlers run concurrently on all threads. */
struct Entry::Impl : std::enable_shared_from_this<Entry::Impl>
{
  Impl(const schema::DaemonSettings& aSettings,
       membership::Node& aNode,
       net::HttpClient& aClient,
       rpc::RpcClient& aRpc,
       platform::LogClient& aLog);

  void HandleChat(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter);
  void HandleService(const net::HttpRequest& aRequest,
                     net::ResponseWriter& aWriter);
  void HandleModels(net::ResponseWriter& aWriter);
  void Serve(const CallerRequest& aRequest, net::ResponseWriter& aWriter);
  /**
   * Copies the request's profile; false with a reason if the profile does not
   * exist or refuses the organisation, or if the request is quarantined.
   */
  bool CheckRequest(const CallerRequest& aRequest,
                    schema::Profile& aProfile,
                    utils::Error& aReason);
  void RebuildRoutes(const membership::View& aView);
  /** Whether the view is loaded and every profile has a serving side. */
  bool HasAllRoutes(const membership::View& aView) const;

  membership::Node& node;
  net::HttpClient& client;
  rpc::RpcClient& rpc;
  platform::LogClient& log;
  utils::Millis defaultTimeout;
  routing::Policy policy;
  RetryBudget budget;
  AttemptCall call;
  StrikeTracker strikes;
  ClaimService claims;
  utils::RcuCell<routing::RouteTable> routes;
  /** Guards routesBuilder. */
  std::mutex routesMutex;
  routing::RouteTableBuilder routesBuilder;
  utils::Clock clock;
  utils::Millis startedAt = clock.Now();
  /** Never reset, so that only draining makes a ready entry unready. */
  std::atomic<bool> hasAllRoutes{ false };
  std::atomic<bool> draining{ false };
  /** New requests are refused. */
  std::atomic<bool> closed{ false };
  /** Requests that are being served. */
  std::atomic<int> active{ 0 };
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_EntryImpl_h
