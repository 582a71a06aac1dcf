// Measures how changes of configuration come into force on real processes.
// The last line on standard output is one JSON object.

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
constexpr Millis kCalmDown(8000);
constexpr Millis kChangePause(1000);
constexpr Millis kSpreadTime(3000);

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
  const std::vector<std::pair<std::string, std::string>> places{
    { "osl-sone1", "aust" },
    { "bgo-sone1", "vest" },
    { "tos-sone1", "nordnorge" }
  };
  bed::BedOptions options;
  options.proxied = aOptions.regionCut;
  for (std::size_t i = 0; i < places.size(); ++i) {
    auto share = aOptions.nodes / places.size() +
                 (i < aOptions.nodes % places.size() ? 1 : 0);
    options.sites.push_back(
      { places[i].first, places[i].second, 1, share - 2, 1 });
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
            << ",\"in_force_max_ms\":" << aTimes.mostMs
            << ",\"never_in_force\":" << aTimes.missing
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

/** Sends a change each second; with faults the log fails half of the time. */
void
SendChanges(bed::Bed& aBed, Changer& aChanger, const Options& aOptions)
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
    aChanger.Send();
    next = next + kChangePause;
    net::Runtime::Sleep(std::max(next - clock.Now(), Millis(0)));
  }
  aBed.SetFaults(bed::Service::Log, fakes::Faults());
}

/** Cuts a region off for 30 s of changes; the wall clock at its return. */
std::int64_t
SendWithCut(bed::Bed& aBed, Changer& aChanger, const Options& aOptions)
{
  constexpr std::int64_t kCutSeconds = 30;
  constexpr const char* kRegion = "nordnorge";
  auto part = aOptions;
  part.seconds = kCutSeconds;
  aBed.SetRegionCut(kRegion, true);
  SendChanges(aBed, aChanger, part);
  aBed.SetRegionCut(kRegion, false);
  auto returned = utils::GetWallTime().value;
  part.seconds = aOptions.seconds;
  SendChanges(aBed, aChanger, part);
  return returned;
}

bool
Measure(bed::Bed& aBed, const Options& aOptions)
{
  Changer changer(aBed);
  if (!changer.Send()) {
    std::cerr << "the log takes no change\n";
    return false;
  }
  auto isSettled = [&] {
    return aBed.IsInForce(changer.GetAccepted().back().revision);
  };
  if (!bed::Bed::WaitFor(isSettled, kSettleTimeout)) {
    std::cerr << "the first change does not come into force\n";
    return false;
  }
  net::Runtime::Sleep(kCalmDown);

  auto begin = TakeSample(aBed);
  net::Runtime::Sleep(Millis(aOptions.seconds * 1000));
  auto calm = TakeSample(aBed);
  Print(aOptions, "idle", Compare(begin, calm), 0, {}, isSettled());

  auto before = TakeSample(aBed);
  auto skip = changer.GetAccepted().size();
  std::int64_t faultEnd = 0;
  if (aOptions.regionCut) {
    faultEnd = SendWithCut(aBed, changer, aOptions);
  } else {
    SendChanges(aBed, changer, aOptions);
  }
  auto after = TakeSample(aBed);
  net::Runtime::Sleep(kSpreadTime);
  bool equal = bed::Bed::WaitFor(isSettled, kSettleTimeout);
  std::vector<AcceptedChange> changes(changer.GetAccepted().begin() +
                                        static_cast<std::ptrdiff_t>(skip),
                                      changer.GetAccepted().end());
  auto times = MeasureInForce(changes, ReadTimelines(aBed), faultEnd);
  Print(aOptions,
        GetPhase(aOptions),
        Compare(before, after),
        changes.size(),
        times,
        equal);
  return equal && times.reverts == 0 && times.missing == 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app{ "Configuration in force: real processes, one machine." };
  Options options;
  app.add_option("--nodes", options.nodes, "daemons, from 9 on");
  app.add_option("--seconds", options.seconds, "of each phase");
  app.add_flag(
    "--log-faults", options.logFaults, "the log fails for 10 s of each 20 s");
  app.add_flag("--region-cut",
               options.regionCut,
               "one region is cut off for 30 s of changes first");
  CLI11_PARSE(app, aCount, aArguments);
  bool good = false;
  bed::RunWithBed(MakeBedOptions(options),
                  [&](bed::Bed& aBed) { good = Measure(aBed, options); });
  return good ? 0 : 1;
}
