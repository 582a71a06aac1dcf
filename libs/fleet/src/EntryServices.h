#ifndef waxwingyoke_fleet_EntryServices_h
#define waxwingyoke_fleet_EntryServices_h

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <dispatch/CrashLedger.h>
#include <dispatch/Freshness.h>
#include <dispatch/PredictionBias.h>
#include <dispatch/RefusalMemory.h>
#include <dispatch/ReturnPlanner.h>
#include <dispatch/UpstreamBook.h>
#include <dispatch/WaitingLine.h>
#include <dispatch/WindowBudget.h>
#include <fleet/Entry.h>
#include <telemetry/Logger.h>
#include <telemetry/Metrics.h>
#include <utils/Time.h>

#include "ConfigFollower.h"

namespace waxwingyoke::fleet {

/** What an entry keeps for each service. */
struct ServiceState
{
  dispatch::WindowBudget retries;
  dispatch::ReturnPlanner returns;
  dispatch::WaitingLine line;
  dispatch::PredictionBias bias;
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
  telemetry::Distribution& firstPartMs;
  telemetry::Distribution& requestMs;

  static EntryMetrics Make();
};

/**
 * What all requests of an entry share: what is known of the configuration,
 * the upstreams and other requests. Used by one thread; owned by the entry.
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
  dispatch::UpstreamBook& GetBook() { return book_; }
  dispatch::CrashLedger& GetCrashes() { return crashes_; }
  dispatch::RefusalMemory& GetRefusals() { return refusals_; }
  EntryMetrics& GetMetrics() { return metrics_; }
  const telemetry::Logger& GetLogger() const { return logger_; }
  utils::Millis Now() const { return clock_.Now(); }

  ServiceState& GetService(const std::string& aName);

  /** The model of a service's engine; null for a plain service. */
  const dispatch::EngineModel* FindEngine(
    const platform::ServiceInfo& aService);

  dispatch::Trust GetTrust() const;

  /** How many entries share the fleet's retries. */
  void SetEntryCount(std::size_t aCount) { entryCount_ = aCount; }

  /** Gives places that others freed to requests that wait. */
  void ServeLines();

  /** The oldest version that new work may begin on; 0: any. */
  std::uint64_t FindMinVersion(const std::string& aModel) const;

  /**
   * How long work may still begin on that version; empty: no newer one was
   * named that bounds it.
   */
  std::optional<utils::Millis> FindTimeToBegin(const std::string& aModel,
                                               std::uint64_t aVersion) const;

  /**
   * A connection to an upstream broke under a request. Finds out whether the
   * upstream crashed; if so, the request is held against.
   */
  void NoteBroken(const dispatch::UpstreamPointer& aUpstream,
                  std::uint64_t aRequest);

  /** Whether this entry's use of upstreams changed since the last call. */
  bool TakeUseChange();
  void NoteUseChange() { useChanged_ = true; }

private:
  void ProbeBroken(const dispatch::UpstreamPointer& aUpstream);

  net::Runtime& runtime_;
  const platform::FleetSettings& settings_;
  FleetPorts ports_;
  utils::Clock clock_;
  telemetry::Logger logger_{ "entry" };
  ConfigFollower config_;
  dispatch::UpstreamBook book_;
  dispatch::CrashLedger crashes_;
  dispatch::RefusalMemory refusals_;
  EntryMetrics metrics_;
  std::map<std::string, ServiceState> services_;
  /** Of the configuration that it was made from. */
  std::map<std::string, std::unique_ptr<dispatch::EngineModel>> engines_;
  std::uint64_t enginesVersion_ = 0;
  std::size_t entryCount_ = 1;
  bool useChanged_ = false;
  utils::Millis linesServedAt_;
  /** Requests whose connections broke, by upstream, while it is probed. */
  std::map<std::string, std::vector<std::uint64_t>> broken_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_EntryServices_h
