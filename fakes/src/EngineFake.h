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

/** One request that the engine holds. */
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
 * A model engine: takes orders to load versions, whose content it fetches
 * and checks wholly, and answers with tokens that follow from prompt and
 * version. A stream that runs while the version changes goes on with the new
 * one and says so in each event's fingerprint, as such engines do.
 */
class EngineFake
{
public:
  EngineFake(Upstream& aUpstream, FaultGate& aGate, net::HttpClient& aClient);

private:
  // Orders, in EngineFake.cpp.
  void Load(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  void Unload(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);
  bool AcceptOrder(std::uint64_t aFencing, net::ResponseWriter& aWriter);
  bool FetchAll(const schema::LoadOrder& aOrder, std::string& aFault);
  bool FetchChunk(const net::Endpoint& aSource,
                  const std::string& aDigestBytes,
                  std::string& aFault);
  void JudgeSource(const utils::Error& aReason,
                   const std::string& aWhat,
                   std::string& aFault);
  void SendState(net::ResponseWriter& aWriter) const;
  void Forget();
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
  void Hold(const std::shared_ptr<EngineJob>& aJob);
  void NoteCacheEvent(bool aStored, std::uint64_t aBlock);
  std::size_t GetSlots() const;

  struct LateEvent
  {
    utils::Millis at;
    CacheEvent event;
  };

  struct LateLoad
  {
    utils::Millis at;
    EngineLoad load;
  };

  Upstream& upstream_;
  FaultGate& gate_;
  net::HttpClient& client_;
  utils::Clock clock_;

  std::string version_;
  std::uint64_t fencing_ = 0;
  // Grows with each order, so that an overtaken load knows it.
  std::uint64_t order_ = 0;
  bool loading_ = false;

  std::map<std::string, std::shared_ptr<EngineJob>> jobs_;
  std::deque<std::string> jobOrder_;
  std::map<std::string, std::uint64_t> runs_;
  std::map<std::string, std::uint64_t> prompts_;
  // Priorities of the waiting, highest last.
  std::multiset<int> waiting_;
  std::size_t running_ = 0;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable slotFreed_;

  PrefixCache cache_;
  std::deque<LateEvent> events_;
  std::uint64_t nextEvent_ = 0;
  std::deque<LateLoad> loads_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_EngineFake_h
