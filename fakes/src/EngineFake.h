#ifndef waxwingyoke_fakes_EngineFake_h
#define waxwingyoke_fakes_EngineFake_h

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <net/HttpClient.h>
#include <schema/platform.pb.h>

#include "PrefixCache.h"
#include "Upstream.h"

namespace waxwingyoke::fakes {

/** A request that the engine runs, or retains so that it can be resumed. */
struct EngineJob
{
  std::string id;
  std::string prompt;
  std::string model;
  std::size_t tokens = 0;
  int priority = 0;
  bool stream = false;
  bool cancelled = false;
};

/**
 * Fake of a model engine. It accepts orders to load versions, whose content it
 * fetches and verifies completely, and answers with tokens that depend on the
 * prompt and the version alone. A stream that runs while the version changes
 * continues with the new one, which each event's system_fingerprint names, as
 * such engines do.
 */
class EngineFake
{
public:
  EngineFake(Upstream& aUpstream,
             FaultInjector& aFaultInjector,
             net::HttpClient& aClient);

private:
  // Orders, in EngineFake.cpp.
  void Load(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  void Unload(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  bool AcceptOrder(std::uint64_t aFencing, net::ResponseWriter& aWriter);
  bool FetchAll(const schema::LoadOrder& aOrder, std::string& aFault);
  bool FetchChunk(const net::Endpoint& aSource,
                  const std::string& aDigestBytes,
                  std::string& aFault);
  void RecordSourceFailure(const utils::Error& aReason,
                           const std::string& aWhat,
                           std::string& aFault);
  void SendState(net::ResponseWriter& aWriter) const;
  void ResetState();
  void FillCounters(Counters& aCounters) const;
  void AddViolation(const std::string& aDetail);

  // Requests, in EngineRequests.cpp.
  void AddRequestRoutes(net::Router& aRouter);
  void Complete(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  void Resume(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  void Cancel(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  void SendLoad(net::ResponseWriter& aWriter);
  void SendEvents(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter);
  bool WaitForSlot(EngineJob& aJob, net::ResponseWriter& aWriter);
  void ReleaseSlot();
  void Prefill(const EngineJob& aJob);
  void Generate(EngineJob& aJob,
                std::size_t aFrom,
                net::ResponseWriter& aWriter);
  bool WaitForToken(const EngineJob& aJob,
                    utils::Millis aDue,
                    net::ResponseWriter& aWriter);
  void RetainJob(const std::shared_ptr<EngineJob>& aJob);
  void RecordCacheEvent(bool aStored, std::uint64_t aBlock);
  std::size_t GetSlots() const;

  struct DelayedEvent
  {
    utils::Millis at;
    CacheEvent event;
  };

  struct DelayedLoad
  {
    utils::Millis at;
    EngineLoad load;
  };

  Upstream& upstream_;
  FaultInjector& faultInjector_;
  net::HttpClient& client_;
  utils::Clock clock_;

  std::string version_;
  std::uint64_t fencing_ = 0;
  // Incremented at each order, so that a load detects a later order.
  std::uint64_t orderNumber_ = 0;
  bool loading_ = false;

  std::map<std::string, std::shared_ptr<EngineJob>> jobs_;
  std::deque<std::string> jobOrder_;
  std::map<std::string, std::uint64_t> runs_;
  std::map<std::string, std::uint64_t> prompts_;
  // Priorities of the waiting requests, highest last.
  std::multiset<int> waitingPriorities_;
  std::size_t running_ = 0;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable slotFreed_;

  PrefixCache cache_;
  std::deque<DelayedEvent> events_;
  std::uint64_t nextEvent_ = 0;
  std::deque<DelayedLoad> loads_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_EngineFake_h
