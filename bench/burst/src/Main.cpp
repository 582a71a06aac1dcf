// Measures how fast new weights are distributed to many VMs, with real
// processes, a rate limit on each process's link and a rate-limited origin. The
// last line is one JSON object; docs/design/weights.md explains its fields.

#include <cstdio>

#include <CLI/CLI.hpp>

#include <telemetry/Logger.h>

#include "Agent.h"
#include "BaselineRun.h"
#include "Options.h"
#include "Report.h"
#include "SwarmRun.h"

using namespace waxwingyoke;

namespace {

void
AddOptions(CLI::App& aApp, burst::Options& aOptions)
{
  aApp.add_option("--vms", aOptions.vms, "Number of VMs over all regions");
  aApp.add_option("--regions", aOptions.regions, "Number of regions");
  aApp.add_option("--bytes", aOptions.bytes, "Size of the version, bytes");
  aApp.add_option(
    "--chunk-bytes", aOptions.chunkBytes, "Size of a chunk, bytes");
  aApp.add_option(
    "--link",
    aOptions.linkBytesPerSecond,
    "Rate limit of each process's link, both directions together, bytes/s");
  aApp.add_option(
    "--origin-rate",
    aOptions.originBytesPerSecond,
    "Send rate of the store and of the origin each, bytes/s; 0: four links");
  aApp.add_option("--faults", aOptions.faults, "none, faults or second");
  aApp.add_option("--ways", aOptions.ways, "swarm, origin, chain")
    ->delimiter(',');
  aApp.add_option("--seed", aOptions.seed, "Seed of the random choices");
  aApp.add_option("--log-level", aOptions.logLevel, "Log level of the daemons");
  aApp.add_flag("--keep", aOptions.keepFolder, "Keep settings and logs");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Measures the distribution of new weights to many VMs");
  burst::Options options;
  burst::AgentOptions agent;
  AddOptions(app, options);
  auto* command = app.add_subcommand("agent", "One process of a baseline");
  command->add_option("--listen", agent.listen)->required();
  command->add_option("--source", agent.source)->required();
  command->add_option("--version", agent.version)->required();
  command->add_option("--link", agent.linkBytesPerSecond)->required();
  CLI11_PARSE(app, aCount, aArguments);
  telemetry::StartLogging({ utils::LogLevel::Warn, "", "burst" });
  if (*command) {
    return burst::RunAgent(agent);
  }
  std::vector<burst::WayResult> results;
  for (const auto& way : options.ways) {
    results.push_back(way == "swarm" ? burst::RunSwarm(options)
                                     : burst::RunBaseline(options, way));
  }
  std::printf("%s\n", burst::MakeReport(options, results).c_str());
  return 0;
}
