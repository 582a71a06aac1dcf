// Runs the daemons under random faults and tells which promises broke.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>

#include <net/Runtime.h>

#include "FaultPlan.h"

using namespace waxwingyoke;
using namespace waxwingyoke::soak;
using utils::Millis;

namespace {

constexpr Millis kPoll(100);
constexpr Millis kStartTime(20000);
// The platform's bound for service after a fault of everything, and a start.
constexpr Millis kRecoveryTime(20000);
// An idle process takes far less; one that spins takes all of it.
constexpr double kMostIdleCores = 0.5;
constexpr Millis kIdleTime(1000);

struct SoakOptions
{
  BedOptions bed;
  std::int64_t seconds = 20;
  int callers = 12;
  std::uint64_t seeds = 1;
  std::string seedsFile;
};

/** Processor time that a process has taken, ms. */
double
GetProcessorMs(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/stat");
  std::string field;
  double ticks = 0;
  constexpr int kUserTime = 14;
  constexpr int kSystemTime = 15;
  for (int i = 1; file >> field && i <= kSystemTime; ++i) {
    ticks += i == kUserTime || i == kSystemTime ? std::stod(field) : 0;
  }
  return ticks * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** One run of one seed. */
class Soak
{
public:
  Soak(net::Runtime& aRuntime, SoakBed& aBed, const SoakOptions& aOptions)
    : runtime_(aRuntime)
    , bed_(aBed)
    , options_(aOptions)
    , ledger_([this](const std::string& aId) { return bed_.CountRuns(aId); })
    , callers_(aBed, ledger_)
    , plan_(aBed, callers_, ledger_)
  {
  }

  int Run()
  {
    bed_.keysInForce = { "key-a", "key-b", "key-c" };
    callers_.keys = bed_.keysInForce;
    bed_.Publish();
    runtime_.Spawn([this] { Heartbeat(); });
    if (!WaitUntil(kStartTime, [this] { return IsServing(); })) {
      ledger_.AddViolation("did not come to serve at the start");
    }
    callers_.Start(runtime_, options_.callers);
    plan_.Run(runtime_, clock_.Now() + Millis(options_.seconds * 1000));
    callers_.Stop();
    CheckRecovery();
    CheckSpin();
    CheckLoads();
    ledger_.Close();
    Show();
    return ledger_.GetViolations().empty() ? 0 : 1;
  }

private:
  // Upstreams tell the directory what they hold.
  void Heartbeat()
  {
    while (true) {
      bed_.Register();
      net::Runtime::Sleep(kPoll);
    }
  }

  template<typename Condition>
  bool WaitUntil(Millis aTime, Condition aCondition)
  {
    auto until = clock_.Now() + aTime;
    while (clock_.Now() < until) {
      if (aCondition()) {
        return true;
      }
      net::Runtime::Sleep(kPoll);
    }
    return false;
  }

  bool IsServing()
  {
    constexpr int kOk = 200;
    for (std::size_t entry = 0; entry < bed_.entries.size(); ++entry) {
      for (auto route :
           { RouteKind::Stream, RouteKind::Once, RouteKind::Safe }) {
        if (callers_.Send(route, entry, bed_.keysInForce.back()) != kOk) {
          return false;
        }
      }
    }
    return true;
  }

  bool IsNewest()
  {
    return std::ranges::all_of(
      bed_.upstreams.begin(),
      bed_.upstreams.begin() + static_cast<std::ptrdiff_t>(bed_.options.sides),
      [this](const auto& aEngine) {
        return aEngine->GetVersion() == bed_.GetVersion();
      });
  }

  void CheckRecovery()
  {
    if (!WaitUntil(kRecoveryTime,
                   [this] { return IsNewest() && IsServing(); })) {
      ledger_.AddViolation(IsNewest() ? "does not serve after the faults"
                                      : "an engine is not on the newest");
    }
  }

  void CheckSpin()
  {
    std::map<const Daemon*, double> before;
    for (auto* group : { &bed_.entries, &bed_.sides }) {
      for (const auto& daemon : *group) {
        before[&daemon] = GetProcessorMs(daemon.process->GetId());
      }
    }
    net::Runtime::Sleep(kIdleTime);
    for (const auto& [daemon, ms] : before) {
      auto took = GetProcessorMs(daemon->process->GetId()) - ms;
      if (took > kMostIdleCores * static_cast<double>(kIdleTime.value)) {
        ledger_.AddViolation("spins: " + daemon->settings);
      }
    }
  }

  void CheckLoads()
  {
    for (const auto& upstream : bed_.upstreams) {
      if (upstream->GetBadLoads() > 0) {
        ledger_.AddViolation("loaded what was not whole: " + upstream->GetId());
      }
    }
  }

  void Show() const
  {
    for (const auto& text : ledger_.GetViolations()) {
      std::printf("seed %llu: %s\n",
                  static_cast<unsigned long long>(bed_.options.seed),
                  text.c_str());
    }
    std::ostringstream faults;
    for (const auto& [name, count] : plan_.GetPlayed()) {
      faults << (faults.tellp() > 0 ? "," : "") << '"' << name
             << "\":" << count;
    }
    std::printf(
      R"({"seed":%llu,"requests":%zu,"served":%d,"refused":%d,"failed":%d,)"
      R"("cut":%d,"violations":%zu,"faults":{%s}})"
      "\n",
      static_cast<unsigned long long>(bed_.options.seed),
      ledger_.GetAttempts(),
      ledger_.Count(200),
      ledger_.Count(503),
      ledger_.Count(502) + ledger_.Count(504) + ledger_.Count(500),
      ledger_.Count(0),
      ledger_.GetViolations().size(),
      faults.str().c_str());
    std::fflush(stdout);
  }

  net::Runtime& runtime_;
  SoakBed& bed_;
  const SoakOptions& options_;
  utils::Clock clock_;
  Ledger ledger_;
  Callers callers_;
  FaultPlan plan_;
};

// Each seed in a process of its own: what a bed leaves behind ends with it.
int
RunSeed(const SoakOptions& aOptions)
{
  net::Runtime runtime(1);
  return runtime.Run([&] {
    utils::Error reason;
    auto bed = SoakBed::Make(runtime, aOptions.bed, reason);
    int result = 2;
    if (bed) {
      result = Soak(runtime, *bed, aOptions).Run();
      bed.reset();
    } else {
      std::fprintf(stderr, "%s\n", reason.detail.c_str());
    }
    std::_Exit(result);
    return result;
  });
}

std::vector<std::uint64_t>
ListSeeds(const SoakOptions& aOptions)
{
  std::vector<std::uint64_t> seeds;
  if (aOptions.seedsFile.empty()) {
    for (std::uint64_t i = 0; i < aOptions.seeds; ++i) {
      seeds.push_back(aOptions.bed.seed + i);
    }
    return seeds;
  }
  std::ifstream file(aOptions.seedsFile);
  std::string line;
  while (std::getline(file, line)) {
    if (!line.empty() && line.front() != '#') {
      seeds.push_back(std::stoull(line));
    }
  }
  return seeds;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  SoakOptions options;
  CLI::App app("Runs the daemons under random faults");
  app.add_option("--seed", options.bed.seed, "the first seed");
  app.add_option("--seeds", options.seeds, "how many, one after the other");
  app.add_option("--seeds-file", options.seedsFile, "seeds, one a line");
  app.add_option("--seconds", options.seconds, "of faults, for each seed");
  app.add_option("--callers", options.callers, "that send at the same time");
  app.add_option("--entries", options.bed.entries, "entry processes");
  app.add_option("--sides", options.bed.sides, "side processes");
  CLI11_PARSE(app, aCount, aArguments);
  int failed = 0;
  for (auto seed : ListSeeds(options)) {
    options.bed.seed = seed;
    auto child = fork();
    if (child == 0) {
      RunSeed(options);
    }
    int status = 0;
    waitpid(child, &status, 0);
    failed += status == 0 ? 0 : 1;
  }
  std::printf("%d seeds failed\n", failed);
  return failed == 0 ? 0 : 1;
}
