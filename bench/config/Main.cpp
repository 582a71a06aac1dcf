// Measures how soon configuration changes are in force on all nodes, with real
// processes. The last line on standard output is one JSON object.

#include <algorithm>
#include <iostream>

#include <CLI/CLI.hpp>
#include <bed/Bed.h>
#include <net/Runtime.h>

#include "Changes.h"
#include "Probe.h"

namespace {

using namespace waxwingyoke;
using namespace waxwingyoke::bench;
using utils::Millis;

constexpr Millis kSettleTimeout(60000);
constexpr Millis kIdleSettleTime(8000);
constexpr Millis kChangePause(1000);
constexpr Millis kPropagationTime(3000);

struct Options
{
  std::size_t nodes = 16;
  std::int64_t seconds = 20;
  bool logFaults = false;
  bool regionCut = false;
};

bed::BedOptions
MakeBedOptions(const Options& aOptions)
{
  const std::vector<std::pair<std::string, std::string>> locations{
    { "osl-sone1", "aust" },
    { "bgo-sone1", "vest" },
    { "tos-sone1", "nordnorge" }
  };
  bed::BedOptions options;
  options.proxied = aOptions.regionCut;
  for (std::size_t i = 0; i < locations.size(); ++i) {
    auto share = aOptions.nodes / locations.size() +
                 (i < aOptions.nodes % locations.size() ? 1 : 0);
    options.sites.push_back(
      { locations[i].first, locations[i].second, 1, share - 2, 1 });
  }
  return options;
}

void
Print(const Options& aOptions,
      const std::string& aPhase,
      const Rates& aRates,
      std::size_t aChanges,
      const InForceTimes& aTimes,
      bool aEqual)
{
  std::cout << "{\"phase\":\"" << aPhase << "\",\"nodes\":" << aOptions.nodes
            << ",\"changes\":" << aChanges
            << ",\"in_force_p50_ms\":" << aTimes.p50Ms
            << ",\"in_force_p99_ms\":" << aTimes.p99Ms
            << ",\"in_force_max_ms\":" << aTimes.maxMs
            << ",\"never_in_force\":" << aTimes.neverInForce
            << ",\"reverts\":" << aTimes.reverts
            << ",\"states_equal\":" << (aEqual ? "true" : "false")
            << ",\"log_reads_per_s\":" << aRates.logReads
            << ",\"log_appends_per_s\":" << aRates.logAppends
            << ",\"bytes_per_node_s\":" << aRates.bytesMean
            << ",\"bytes_per_node_s_max\":" << aRates.bytesMax
            << ",\"busiest\":\"" << aRates.busiest << '"'
            << ",\"busiest_rows_sent\":" << aRates.busiestRowsSent
            << ",\"busiest_rows_pushed\":" << aRates.busiestRowsPushed
            << ",\"cpu_percent_per_node\":" << aRates.cpuPercentMean
            << ",\"cpu_percent_per_node_max\":" << aRates.cpuPercentMax
            << ",\"rss_mb\":" << aRates.rssMbMax << "}" << std::endl;
}

std::vector<Timeline>
ReadTimelines(bed::Bed& aBed)
{
  std::vector<Timeline> timelines;
  std::ranges::transform(
    aBed.GetNodes(), std::back_inserter(timelines), [](const auto& aNode) {
      return ReadTimeline(aNode->logFile);
    });
  return timelines;
}

std::string
GetPhase(const Options& aOptions)
{
  std::string phase = aOptions.regionCut ? "region_cut" : "changes";
  return aOptions.logFaults ? phase + "_log_faults" : phase;
}

/** Publishes a change each second. With --log-faults the log fails for 10 s of
 * each 20 s. */
void
PublishChanges(bed::Bed& aBed,
               ChangePublisher& aPublisher,
               const Options& aOptions)
{
  constexpr std::int64_t kFaultSpan = 10;
  utils::Clock clock;
  auto next = clock.Now();
  for (std::int64_t i = 0; i < aOptions.seconds; ++i) {
    if (aOptions.logFaults && i % kFaultSpan == 0) {
      fakes::Faults faults;
      faults.set_outage(i / kFaultSpan % 2 == 1);
      aBed.SetFaults(bed::Service::Log, faults);
    }
    aPublisher.PublishNext();
    next = next + kChangePause;
    net::Runtime::Sleep(std::max(next - clock.Now(), Millis(0)));
  }
  aBed.SetFaults(bed::Service::Log, fakes::Faults());
}

/** Publishes changes for 30 s with a region cut off, then as usual; returns the
 * wall-clock time at which the region was reconnected, ms. */
std::int64_t
PublishWithRegionCut(bed::Bed& aBed,
                     ChangePublisher& aPublisher,
                     const Options& aOptions)
{
  constexpr std::int64_t kCutSeconds = 30;
  constexpr const char* kRegion = "nordnorge";
  auto phaseOptions = aOptions;
  phaseOptions.seconds = kCutSeconds;
  aBed.SetRegionCut(kRegion, true);
  PublishChanges(aBed, aPublisher, phaseOptions);
  aBed.SetRegionCut(kRegion, false);
  auto reconnectedAt = utils::GetWallTime().value;
  phaseOptions.seconds = aOptions.seconds;
  PublishChanges(aBed, aPublisher, phaseOptions);
  return reconnectedAt;
}

bool
Measure(bed::Bed& aBed, const Options& aOptions)
{
  ChangePublisher publisher(aBed);
  if (!publisher.PublishNext()) {
    std::cerr << "the log does not accept the first change\n";
    return false;
  }
  auto isSettled = [&] {
    return aBed.IsInForce(publisher.GetAccepted().back().revision);
  };
  if (!bed::Bed::WaitFor(isSettled, kSettleTimeout)) {
    std::cerr << "the first change does not come into force\n";
    return false;
  }
  net::Runtime::Sleep(kIdleSettleTime);

  auto begin = TakeSample(aBed);
  net::Runtime::Sleep(Millis(aOptions.seconds * 1000));
  auto afterIdle = TakeSample(aBed);
  Print(aOptions, "idle", Compare(begin, afterIdle), 0, {}, isSettled());

  auto before = TakeSample(aBed);
  auto acceptedBefore = publisher.GetAccepted().size();
  std::int64_t faultEnd = 0;
  if (aOptions.regionCut) {
    faultEnd = PublishWithRegionCut(aBed, publisher, aOptions);
  } else {
    PublishChanges(aBed, publisher, aOptions);
  }
  auto after = TakeSample(aBed);
  net::Runtime::Sleep(kPropagationTime);
  bool equal = bed::Bed::WaitFor(isSettled, kSettleTimeout);
  std::vector<AcceptedChange> changes(
    publisher.GetAccepted().begin() +
      static_cast<std::ptrdiff_t>(acceptedBefore),
    publisher.GetAccepted().end());
  auto times = MeasureInForce(changes, ReadTimelines(aBed), faultEnd);
  Print(aOptions,
        GetPhase(aOptions),
        Compare(before, after),
        changes.size(),
        times,
        equal);
  return equal && times.reverts == 0 && times.neverInForce == 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app{
    "Measures how soon configuration changes are in force on all nodes."
  };
  Options options;
  app.add_option("--nodes", options.nodes, "number of daemons, at least 9");
  app.add_option("--seconds", options.seconds, "duration of each phase, s");
  app.add_flag(
    "--log-faults", options.logFaults, "the log fails for 10 s of each 20 s");
  app.add_flag("--region-cut",
               options.regionCut,
               "one region is cut off for 30 s of changes first");
  CLI11_PARSE(app, aCount, aArguments);
  bool passed = false;
  bed::RunWithBed(MakeBedOptions(options),
                  [&](bed::Bed& aBed) { passed = Measure(aBed, options); });
  return passed ? 0 : 1;
}
