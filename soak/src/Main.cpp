// Runs the daemons under random faults and reports violated guarantees.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>

#include <net/Runtime.h>

#include "FaultInjector.h"

using namespace waxwingyoke;
using namespace waxwingyoke::soak;
using utils::Millis;

namespace {

constexpr Millis kPollInterval(100);
constexpr Millis kStartTimeout(20000);
// The platform's bound for recovery after a complete outage, plus the time that
// a start takes.
constexpr Millis kRecoveryTimeout(20000);
// An idle process uses far less; one in a busy loop uses a whole core.
constexpr double kMaxIdleCores = 0.5;
constexpr Millis kIdleTime(1000);

struct SoakOptions
{
  BedOptions bed;
  std::int64_t seconds = 20;
  int callers = 12;
  std::uint64_t seeds = 1;
  std::string seedsFile;
};

/** CPU time that a process has used in user and kernel mode, ms. */
double
GetCpuMs(pid_t aProcess)
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

/** Runs one seed: the faults, the callers, and the checks after them. */
class SoakRun
{
public:
  SoakRun(net::Runtime& aRuntime, SoakBed& aBed, const SoakOptions& aOptions)
    : runtime_(aRuntime)
    , bed_(aBed)
    , options_(aOptions)
    , checker_([this](const std::string& aId) { return bed_.CountRuns(aId); })
    , callers_(aBed, checker_)
    , injector_(aBed, callers_, checker_, versionLimit_)
  {
  }

  int Run()
  {
    bed_.activeKeys = { "key-a", "key-b", "key-c" };
    callers_.keys = bed_.activeKeys;
    bed_.Publish();
    runtime_.Spawn([this] { RegisterPeriodically(); });
    if (!WaitUntil(kStartTimeout, [this] { return IsServing(); })) {
      checker_.AddViolation("does not serve within the start timeout");
    }
    callers_.Start(runtime_, options_.callers);
    injector_.Run(runtime_, clock_.Now() + Millis(options_.seconds * 1000));
    callers_.Stop();
    CheckRunning();
    CheckRecovery();
    CheckIdleCpu();
    CheckLoadedPieces();
    checker_.CheckAtEnd();
    checker_.CheckVersionLimit(versionLimit_, GetEngineRecords());
    checker_.CheckRateLimits(versionLimit_);
    silentRequests_ =
      checker_.CheckSilences(versionLimit_, GetRecords(bed_.upstreams.size()));
    PrintResult();
    return checker_.GetViolations().empty() ? 0 : 1;
  }

private:
  // Updates the directory when the state of a fake upstream changes.
  void RegisterPeriodically()
  {
    while (true) {
      bed_.RegisterChanged();
      net::Runtime::Sleep(kPollInterval);
    }
  }

  template<typename Condition>
  bool WaitUntil(Millis aTimeout, Condition aCondition)
  {
    auto until = clock_.Now() + aTimeout;
    while (clock_.Now() < until) {
      if (aCondition()) {
        return true;
      }
      net::Runtime::Sleep(kPollInterval);
    }
    return false;
  }

  bool IsServing()
  {
    constexpr int kOk = 200;
    for (std::size_t entry = 0; entry < bed_.entries.size(); ++entry) {
      for (auto route :
           { RouteKind::Stream, RouteKind::Once, RouteKind::Safe }) {
        if (callers_.Send(route, entry, bed_.activeKeys.back()) != kOk) {
          return false;
        }
      }
    }
    return true;
  }

  bool AreEnginesUpToDate()
  {
    return std::ranges::all_of(
      bed_.upstreams.begin(),
      bed_.upstreams.begin() + static_cast<std::ptrdiff_t>(bed_.options.sides),
      [this](const auto& aEngine) {
        return aEngine->GetVersion() == bed_.GetVersion();
      });
  }

  // Injected ends are followed by a restart, so a daemon that does not run has
  // ended by itself, or could not start.
  void CheckRunning()
  {
    for (auto* group : { &bed_.entries, &bed_.sides }) {
      for (const auto& daemon : *group) {
        if (!daemon.process || !daemon.process->IsRunning()) {
          checker_.AddViolation("a daemon does not run: " + daemon.settings);
        }
      }
    }
  }

  void CheckRecovery()
  {
    if (!WaitUntil(kRecoveryTimeout,
                   [this] { return AreEnginesUpToDate() && IsServing(); })) {
      checker_.AddViolation(
        AreEnginesUpToDate()
          ? "does not serve after the faults"
          : "an engine is not on the newest version after the faults");
    }
  }

  void CheckIdleCpu()
  {
    std::map<const Daemon*, double> before;
    for (auto* group : { &bed_.entries, &bed_.sides }) {
      for (const auto& daemon : *group) {
        before[&daemon] = GetCpuMs(daemon.process->GetId());
      }
    }
    net::Runtime::Sleep(kIdleTime);
    for (const auto& [daemon, ms] : before) {
      auto usedMs = GetCpuMs(daemon->process->GetId()) - ms;
      if (usedMs > kMaxIdleCores * static_cast<double>(kIdleTime.value)) {
        checker_.AddViolation("busy while idle: " + daemon->settings);
      }
    }
  }

  // An order that is accepted late may take a damaged piece, but no request
  // runs on what it loads.
  void CheckLoadedPieces()
  {
    for (const auto& upstream : bed_.upstreams) {
      if (upstream->CountBadStarts() > 0) {
        checker_.AddViolation("ran requests on damaged or missing pieces: " +
                              upstream->GetId());
      }
      if (upstream->GetPromptBadLoads() > 0) {
        checker_.AddViolation("loaded damaged or missing pieces: " +
                              upstream->GetId());
      }
    }
  }

  std::vector<EngineRecords> GetEngineRecords() const
  {
    return GetRecords(bed_.options.sides);
  }

  /** The records of the first aCount upstreams; engines come first. */
  std::vector<EngineRecords> GetRecords(std::size_t aCount) const
  {
    std::vector<EngineRecords> records;
    for (std::size_t i = 0; i < aCount; ++i) {
      const auto& engine = *bed_.upstreams[i];
      records.push_back(
        { engine.GetId(), engine.GetStarts(), engine.GetLoads() });
    }
    return records;
  }

  void PrintResult() const
  {
    for (const auto& text : checker_.GetViolations()) {
      std::printf("seed %llu: %s\n",
                  static_cast<unsigned long long>(bed_.options.seed),
                  text.c_str());
    }
    std::ostringstream faults;
    for (const auto& [name, count] : injector_.GetInjectedCounts()) {
      faults << (faults.tellp() > 0 ? "," : "") << '"' << name
             << "\":" << count;
    }
    std::printf(
      R"({"seed":%llu,"requests":%zu,"served":%d,"refused":%d,"failed":%d,)"
      R"("exposed_namings":%d,"silent_requests":%d,)"
      R"("cut":%d,"violations":%zu,"faults":{%s}})"
      "\n",
      static_cast<unsigned long long>(bed_.options.seed),
      checker_.GetAttempts(),
      checker_.Count(200),
      checker_.Count(503),
      checker_.Count(502) + checker_.Count(504) + checker_.Count(500),
      versionLimit_.CountExposedNamings(GetEngineRecords()),
      silentRequests_,
      checker_.Count(0),
      checker_.GetViolations().size(),
      faults.str().c_str());
    std::fflush(stdout);
  }

  net::Runtime& runtime_;
  SoakBed& bed_;
  const SoakOptions& options_;
  utils::Clock clock_;
  VersionLimitCheck versionLimit_;
  /** Requests that met a silence and no fault that excuses them. */
  int silentRequests_ = 0;
  InvariantChecker checker_;
  Callers callers_;
  FaultInjector injector_;
};

// Runs in a forked process for each seed, so that whatever a bed leaves behind
// ends with it. Exits with 0: no violation, 1: violations, 2: not started.
int
RunSeed(const SoakOptions& aOptions)
{
  net::Runtime runtime(1);
  return runtime.Run([&] {
    utils::Error reason;
    auto bed = SoakBed::Make(runtime, aOptions.bed, reason);
    int result = 2;
    if (bed) {
      result = SoakRun(runtime, *bed, aOptions).Run();
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
  app.add_option("--seed", options.bed.seed, "first seed");
  app.add_option(
    "--seeds", options.seeds, "number of seeds to run, one after the other");
  app.add_option(
    "--seeds-file",
    options.seedsFile,
    "file of seeds to run, one a line, instead of --seed and --seeds");
  app.add_option("--seconds",
                 options.seconds,
                 "duration of the faults for each seed, in seconds");
  app.add_option("--callers", options.callers, "number of concurrent callers");
  app.add_option("--entries", options.bed.entries, "number of entry processes");
  app.add_option("--sides", options.bed.sides, "number of side processes");
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
