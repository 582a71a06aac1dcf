#include "Page.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "Faults.h"
#include "Steps.h"

namespace waxwingyoke::matrix {

namespace {

constexpr const char* kIntroduction = R"(# Fault matrix

Every fault at every step, with real processes behind a fault-injecting proxy;
each cell has a fresh bed of three entries, six model engines and three plain
services over three data centres. This page is written by

    build/bin/waxwingyoke-matrix --results FILE
    build/bin/waxwingyoke-matrix --pairs 20 --results FILE
    build/bin/waxwingyoke-matrix --results FILE --page docs/FAULT-MATRIX.md

Chat requests are declared idempotent where the seed is even. Each cell checks every promise: engines saw no partial or mixed weights
(weights); each answer is whole and the caller's own, or an error that says so
(whole answers); "not run" is true by the upstreams' counters (not run);
non-idempotent requests ran at most once (at most once); accepted changes are
in force on every engine in the end, operators learn what became of each (in
force); no engine goes back (reverts); one request takes at most two upstreams
(crashers); every kind of request is served again (recovery); where a fault
does not touch requests, all of them got whole answers (spared). A cell is run
again by `--step S --fault F --seed N`.

)";

struct Row
{
  std::string step;
  std::string faults;
  std::string seed;
  std::string finding;
};

std::vector<Row>
ReadRows(const std::string& aFile)
{
  std::vector<Row> rows;
  std::ifstream file(aFile);
  for (std::string line; std::getline(file, line);) {
    std::istringstream text(line);
    Row row;
    std::getline(text, row.step, '\t');
    std::getline(text, row.faults, '\t');
    std::getline(text, row.seed, '\t');
    std::getline(text, row.finding);
    rows.push_back(row);
  }
  return rows;
}

// The last result of a cell; null if it has none.
const Row*
FindRow(const std::vector<Row>& aRows,
        const std::string& aStep,
        const std::string& aFault)
{
  auto row = std::find_if(aRows.rbegin(), aRows.rend(), [&](const Row& aRow) {
    return aRow.step == aStep && aRow.faults == aFault;
  });
  return row == aRows.rend() ? nullptr : &*row;
}

std::string
FormatResult(const Row* aRow)
{
  if (!aRow) {
    return "not run";
  }
  return (aRow->finding.empty() ? "ok " : "**red** ") + aRow->seed;
}

void
WriteTable(const std::vector<Row>& aRows, std::ostream& aOut)
{
  std::size_t red = 0;
  std::size_t run = 0;
  for (const auto& row : aRows) {
    bool isLast = FindRow(aRows, row.step, row.faults) == &row;
    run += isLast ? 1 : 0;
    red += isLast && !row.finding.empty() ? 1 : 0;
  }
  aOut << run << " cells run, pairs included, of which " << red
       << " red; the whole table has " << GetSteps().size() * GetFaults().size()
       << ". A cell shows its last run and seed.\n\n| fault |";
  for (const auto& step : GetSteps()) {
    aOut << " " << step.name << " |";
  }
  aOut << "\n| --- |";
  for (std::size_t i = 0; i < GetSteps().size(); ++i) {
    aOut << " --- |";
  }
  aOut << "\n";
  for (const auto& fault : GetFaults()) {
    aOut << "| " << fault.name << " |";
    for (const auto& step : GetSteps()) {
      aOut << " " << FormatResult(FindRow(aRows, step.name, fault.name))
           << " |";
    }
    aOut << "\n";
  }
}

void
WritePairs(const std::vector<Row>& aRows, std::ostream& aOut)
{
  aOut << "\n## Pairs of faults\n\n| step | faults | result and seed |\n"
          "| --- | --- | --- |\n";
  for (const auto& row : aRows) {
    bool isLast = FindRow(aRows, row.step, row.faults) == &row;
    if (row.faults.find('+') != std::string::npos && isLast) {
      aOut << "| " << row.step << " | " << row.faults << " | "
           << FormatResult(&row) << " |\n";
    }
  }
}

void
WriteRed(const std::vector<Row>& aRows, std::ostream& aOut)
{
  aOut << "\n## Red cells\n\n";
  bool any = false;
  for (const auto& row : aRows) {
    if (!row.finding.empty() && FindRow(aRows, row.step, row.faults) == &row) {
      any = true;
      aOut << "- " << row.step << " x " << row.faults << ", seed " << row.seed
           << ": " << row.finding << "\n";
    }
  }
  aOut << (any ? "" : "None in this run.\n");
}

} // namespace

void
AppendResult(const std::string& aFile, const CellResult& aResult)
{
  std::ostringstream line;
  line << aResult.name.step << '\t';
  for (const auto& fault : aResult.name.faults) {
    line << (fault == aResult.name.faults.front() ? "" : "+") << fault;
  }
  line << '\t' << aResult.name.seed << '\t';
  if (!aResult.findings.empty()) {
    auto first = aResult.findings[0];
    std::ranges::replace(first, '\n', ' ');
    line << first << " (" << aResult.findings.size() << " findings)";
  }
  line << '\n';
  // A single write, so that several shards can append to the same file.
  std::ofstream(aFile, std::ios::app) << line.str() << std::flush;
}

bool
WritePage(const std::string& aResults, const std::string& aPage)
{
  auto rows = ReadRows(aResults);
  std::ofstream out(aPage);
  out << kIntroduction;
  WriteTable(rows, out);
  WritePairs(rows, out);
  WriteRed(rows, out);
  return !rows.empty() && out.good();
}

std::vector<CellName>
ListPairs(std::size_t aCount, std::uint64_t aSeed)
{
  std::vector<CellName> cells;
  std::mt19937_64 random(aSeed);
  // The first fault is "none", which is left out of pairs.
  auto faults = GetFaults().size() - 1;
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto& step = GetSteps()[random() % GetSteps().size()];
    auto firstFault = 1 + random() % faults;
    auto secondFault = 1 + (firstFault + random() % (faults - 1)) % faults;
    cells.push_back(
      { step.name,
        { GetFaults()[firstFault].name, GetFaults()[secondFault].name },
        aSeed + i });
  }
  return cells;
}

} // namespace waxwingyoke::matrix
