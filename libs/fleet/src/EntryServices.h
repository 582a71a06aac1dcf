#ifndef waxwingyoke_fleet_EntryServices_h
#define waxwingyoke_fleet_EntryServices_h

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <dispatch/BufferBudget.h>
#include <dispatch/CrashTracker.h>
#include <dispatch/Freshness.h>
#include <dispatch/PredictionBias.h>
#include <dispatch/RefusalTracker.h>
#include <dispatch/RetryAfterPlanner.h>
#include <dispatch/UpstreamRegistry.h>
#include <dispatch/WaitQueue.h>
#include <dispatch/WindowBudget.h>
#include <fleet/Entry.h>
#include <telemetry/Logger.h>
#include <telemetry/Metrics.h>
#include <utils/Time.h>

#include "ConfigFollower.h"

namespace waxwingyoke::fleet {

class Exchange;

/** The digest of a request, or the hash of a part, as log lines state it. */
std::string
FormatDigest(std::uint64_t aDigest);

/** Stable hashes of the ids of a prompt's parts. */
std::vector<std::uint64_t>
HashParts(const std::vector<std::string>& aIds);

/** State that an entry keeps for each service. */
struct ServiceState
{
  dispatch::WindowBudget retryBudget;
  /** By the regions that requests are bound to. */
  std::map<dispatch::RegionSet, dispatch::RetryAfterPlanner> retryPlanners{
    { dispatch::RegionSet(), {} }
  };
  dispatch::WaitQueue waitQueue;
  dispatch::PredictionBias predictionBias;
};

/** A request whose connection to an upstream broke while it ran there. */
struct BrokenRequest
{
  std::string attemptId;
  /** Digest of the request: the same for each retry, at any entry. */
  std::uint64_t digest = 0;
  /** Ids of the prompt's parts that other requests may share. */
  std::vector<std::string> sharedParts;
  /** The upstream had begun to answer it. */
  bool hasBegun = false;
  /** From its first to its last event; empty if none was received. */
  std::optional<utils::Millis> writingTime;
  /** The connection's end marked the end of a response that looks complete. */
  bool looksComplete = false;
};

/** Counters of an entry; see docs/METRICS.md. */
struct EntryMetrics
{
  telemetry::Counter& requests;
  telemetry::Counter& served;
  telemetry::Counter& refused;
  telemetry::Counter& failed;
  telemetry::Counter& sends;
  telemetry::Counter& resumed;
  telemetry::Counter& brokenStreams;
  telemetry::Counter& truncatedStreams;
  telemetry::Counter& upstreamCrashes;
  telemetry::Counter& quarantineRefusals;
  telemetry::Counter& regionRefusals;
  telemetry::Counter& hedges;
  telemetry::Counter& hedgesUsed;
  telemetry::Counter& hedgesFailed;
  telemetry::Counter& rateLimitsNamed;
  telemetry::Counter& rateLimitedSends;
  telemetry::Counter& droppedAnswers;
  telemetry::Distribution& firstPartMs;
  telemetry::Distribution& requestMs;

  static EntryMetrics Make();
};

/**
 * State that all requests of an entry share: the configuration, the upstreams
 * and other requests. Used by one thread; owned by the entry.
 */
class EntryServices
{
public:
  EntryServices(net::Runtime& aRuntime,
                const platform::FleetSettings& aSettings,
                const FleetPorts& aPorts);

  const platform::FleetSettings& GetSettings() const { return settings_; }
  const platform::RequestDialect& GetDialect() const { return *ports_.dialect; }
  net::HttpClient& GetClient() { return ports_.client; }
  ConfigFollower& GetConfig() { return config_; }
  dispatch::UpstreamRegistry& GetUpstreams() { return upstreams_; }
  dispatch::CrashTracker& GetCrashes() { return crashes_; }
  dispatch::RefusalTracker& GetRefusals() { return refusals_; }
  /** Bounds what is buffered of upstreams' answers. */
  dispatch::BufferBudget& GetAnswerBudget() { return answerBudget_; }
  EntryMetrics& GetMetrics() { return metrics_; }
  const telemetry::Logger& GetLogger() const { return logger_; }
  utils::Millis Now() const { return clock_.Now(); }

  /**
   * The state of a service, created on first use; sets its retry budget for the
   * present number of entries.
   */
  ServiceState& GetService(const std::string& aName);

  /**
   * The engine model of a service; null for a service without an engine. Models
   * of an older configuration live for as long as callers hold them.
   */
  std::shared_ptr<const dispatch::EngineModel> FindEngine(
    const platform::ServiceInfo& aService);

  /** What the configuration may be used for at its present age. */
  dispatch::Trust GetTrust() const;

  /** Requests that are being handled; each removes itself before its end. */
  void AddExchange(Exchange& aExchange) { exchanges_.insert(&aExchange); }
  void RemoveExchange(Exchange& aExchange) { exchanges_.erase(&aExchange); }
  const std::set<Exchange*>& GetExchanges() const { return exchanges_; }

  /** Requests that arrive later are refused, as this entry is stopping. */
  void SetAcceptEnd(utils::Millis aEnd) { acceptEnd_ = aEnd; }
  bool IsAccepting() const { return !acceptEnd_ || Now() < *acceptEnd_; }

  /** Sets how many entries share the fleet's retry slack. */
  void SetEntryCount(std::size_t aCount) { entryCount_ = aCount; }

  /**
   * Places queued requests in slots that became free at upstreams. Does nothing
   * if called again within a few milliseconds.
   */
  void ServeWaitQueues();
  /**
   * Applies the evacuated data centres that are known now. On a change, serves
   * the wait queues and lets requests that wait for nothing any more be
   * refused.
   */
  void ApplyEvacuations();
  /** Whether requests wait for room at an upstream. */
  bool HasQueuedRequests() const;

  /** The oldest version that new work may be sent to; 0 allows any. */
  std::uint64_t FindMinVersion(const std::string& aModel) const;

  /**
   * How long work may still start on that version, also if a newer one is named
   * meanwhile; not above 0: no longer.
   */
  utils::Millis FindStartTimeout(const std::string& aModel,
                                 std::uint64_t aVersion) const;

  /**
   * Records that a connection to an upstream broke while a request ran there.
   * Probes the upstream; if it crashed, the request may be the cause, otherwise
   * one that looks complete has survived.
   */
  void RecordBrokenConnection(const dispatch::UpstreamPointer& aUpstream,
                              BrokenRequest aRequest);

  /**
   * Applies the rate limit that an answer of the upstream to a request sent at
   * aSentAt names, or its end.
   */
  void RecordRateLimit(dispatch::UpstreamState& aUpstream,
                       const platform::UpstreamHead& aHead,
                       utils::Millis aSentAt);
  /** Logs the rate limit that now holds, and the entry that told of it. */
  void LogRateLimit(const dispatch::UpstreamState& aUpstream,
                    const std::string& aFrom) const;

  /**
   * Whether this entry's use of upstreams changed since the last call; resets
   * the flag.
   */
  bool TakeUseChange();
  void MarkUseChanged() { useChanged_ = true; }

private:
  void ProbeUpstream(const dispatch::UpstreamPointer& aUpstream);
  bool WaitForReplacement(const platform::Upstream& aRecord);
  void RecordCrash(const platform::Upstream& aUpstream,
                   const BrokenRequest& aRequest);

  net::Runtime& runtime_;
  const platform::FleetSettings& settings_;
  FleetPorts ports_;
  utils::Clock clock_;
  telemetry::Logger logger_{ "entry" };
  ConfigFollower config_;
  dispatch::UpstreamRegistry upstreams_;
  dispatch::CrashTracker crashes_;
  dispatch::RefusalTracker refusals_;
  dispatch::BufferBudget answerBudget_;
  EntryMetrics metrics_;
  std::map<std::string, ServiceState> services_;
  /** By service; built from the configuration of enginesVersion_. */
  std::map<std::string, std::shared_ptr<const dispatch::EngineModel>> engines_;
  std::uint64_t enginesVersion_ = 0;
  std::set<Exchange*> exchanges_;
  std::optional<utils::Millis> acceptEnd_;
  std::size_t entryCount_ = 1;
  bool useChanged_ = false;
  utils::Millis queuesServedAt_;
  /**
   * Requests whose connections broke, by the id of the upstream being probed.
   */
  std::map<std::string, std::vector<BrokenRequest>> pendingProbes_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_EntryServices_h
