// Measures the request path with real processes. The last line is one JSON
// object; docs/design/requests.md explains its fields.

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <telemetry/Logger.h>

#include "Figures.h"
#include "Parts.h"

using namespace waxwingyoke;
using namespace waxwingyoke::bench_requests;

int
main(int aCount, char** aArguments)
{
  const std::map<std::string, std::function<std::string()>> kParts{
    { "latency", &MeasureLatency }, { "overload", &MeasureOverload },
    { "loss", &MeasureLoss },       { "prefix", &MeasurePrefix },
    { "once", &MeasureAtMostOnce },
  };
  CLI::App app("Measurements of the request path");
  std::vector<std::string> chosen;
  app.add_option("parts", chosen, "latency, overload, loss, prefix, once");
  CLI11_PARSE(app, aCount, aArguments);

  telemetry::StartLogging({ utils::LogLevel::Warn, "", "bench" });
  Figures all;
  for (const auto& [name, measure] : kParts) {
    bool wanted =
      chosen.empty() || std::ranges::find(chosen, name) != chosen.end();
    if (!wanted) {
      continue;
    }
    auto figures = measure();
    if (figures.empty()) {
      std::cerr << "no test bed for " << name << "\n";
      return 1;
    }
    std::cout << name << ": " << figures << std::endl;
    all.AddJson(name, figures);
  }
  std::cout << all.Finish() << std::endl;
  return 0;
}
