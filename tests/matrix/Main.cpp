// waxwingyoke-matrix runs every fault at every step with real processes.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include <telemetry/Logger.h>

#include "Cell.h"
#include "Faults.h"
#include "Page.h"
#include "Steps.h"

using namespace waxwingyoke;
using namespace waxwingyoke::matrix;

namespace {

struct Options
{
  std::vector<std::string> steps;
  std::vector<std::string> faults;
  std::uint64_t seed = 1;
  std::size_t pairs = 0;
  std::size_t shard = 0;
  std::size_t shards = 1;
  std::string results;
  std::string page;
  bool quick = false;
  std::string knownRed;
};

// The cells that CI runs: each step, and each kind of fault.
const std::vector<CellName>&
ListQuickCells()
{
  static const std::vector<CellName> kCells{
    { "publish", { "log's answers lost" }, 1 },
    { "publish", { "operators racing" }, 1 },
    { "spread", { "chunks corrupt" }, 1 },
    { "load", { "sides killed" }, 1 },
    { "switch-over", { "none" }, 1 },
    { "request, idempotent", { "answers lost after the act" }, 1 },
    { "request, keyed", { "entry killed" }, 1 },
    { "request, unkeyed", { "connections silent" }, 1 },
    { "request, streaming", { "sides paused and woken" }, 1 },
    { "drain", { "VM list behind" }, 1 },
    { "shutdown", { "none" }, 1 },
    { "upgrade", { "log down" }, 1 },
  };
  return kCells;
}

bool
IsSelected(const std::vector<std::string>& aSelection, const std::string& aName)
{
  return aSelection.empty() ||
         std::ranges::find(aSelection, aName) != aSelection.end();
}

std::vector<CellName>
ListCells(const Options& aOptions)
{
  std::vector<CellName> cells;
  if (aOptions.quick) {
    return ListQuickCells();
  }
  if (aOptions.pairs > 0) {
    return ListPairs(aOptions.pairs, aOptions.seed);
  }
  for (const auto& step : GetSteps()) {
    for (const auto& fault : GetFaults()) {
      if (IsSelected(aOptions.steps, step.name) &&
          IsSelected(aOptions.faults, fault.name)) {
        cells.push_back({ step.name, { fault.name }, aOptions.seed });
      }
    }
  }
  return cells;
}

void
PrintFindings(const std::vector<std::string>& aFindings)
{
  constexpr std::size_t kMaxPrinted = 8;
  for (std::size_t i = 0; i < std::min(kMaxPrinted, aFindings.size()); ++i) {
    std::printf("  %s\n", aFindings[i].c_str());
  }
  if (aFindings.size() > kMaxPrinted) {
    std::printf("  and %zu more\n", aFindings.size() - kMaxPrinted);
  }
}

// Whether KNOWN-RED.txt has a line that begins "matrix: STEP x FAULT;".
bool
IsKnownRed(const std::string& aFile, const CellName& aName)
{
  auto start = "matrix: " + aName.step + " x " + aName.faults[0] + ";";
  std::ifstream file(aFile);
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(start)) {
      std::printf("%s: skipped, KNOWN RED\n", aName.ToString().c_str());
      return true;
    }
  }
  return false;
}

int
RunCells(const Options& aOptions)
{
  auto cells = ListCells(aOptions);
  int red = 0;
  for (std::size_t i = aOptions.shard; i < cells.size(); i += aOptions.shards) {
    if (IsKnownRed(aOptions.knownRed, cells[i])) {
      continue;
    }
    auto result = RunCell(cells[i]);
    red += result.findings.empty() ? 0 : 1;
    std::printf("%s: %s\n",
                cells[i].ToString().c_str(),
                result.findings.empty() ? "ok" : "RED");
    PrintFindings(result.findings);
    std::fflush(stdout);
    if (!aOptions.results.empty()) {
      AppendResult(aOptions.results, result);
    }
  }
  std::printf("%d red\n", red);
  return red == 0 ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Runs the fault matrix: every fault at every step");
  Options options;
  app.add_option("--step", options.steps, "Run only this step; repeatable");
  app.add_option("--fault", options.faults, "Run only this fault; repeatable");
  app.add_option("--seed", options.seed, "Seed of each cell");
  app.add_option(
    "--pairs", options.pairs, "Run this many random pairs of faults instead");
  app.add_option("--shard",
                 options.shard,
                 "Run every --shards-th cell, beginning with this one");
  app.add_option("--shards", options.shards, "Number of shards");
  app.add_option("--results", options.results, "File to append results to");
  app.add_flag("--quick", options.quick, "Run only the cells that CI runs");
  app.add_option("--known-red",
                 options.knownRed,
                 "Skip the cells that this file lists, and print them");
  app.add_option(
    "--page", options.page, "Write this page from the results and run no cell");
  CLI11_PARSE(app, aCount, aArguments);
  telemetry::StartLogging({ utils::LogLevel::Error, "", "matrix" });
  if (!options.page.empty()) {
    return WritePage(options.results, options.page) ? 0 : 1;
  }
  return RunCells(options);
}
