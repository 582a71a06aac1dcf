#include "Stand.h"

#include <array>
#include <csignal>
#include <iostream>

// usage: stand2 CASE FOLDER, in the repository's root. Writes FOLDER/record.txt
// and exits with the code of the case.

namespace {

using namespace waxwingyoke::review;

struct Case
{
  std::string_view name;
  int (*run)(Record&);
};

constexpr std::array<Case, 4> kCases{ {
  { "trace-body", RunTraceBody },
  { "replaced-runners", RunReplacedRunners },
  { "long-header", RunLongHeader },
  { "smuggled-request", RunSmuggledRequest },
} };

} // namespace

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  Now();
  if (aCount != 3) {
    std::cerr << "usage: stand2 CASE FOLDER\n";
    return kNotRun;
  }
  Record record(std::string(aArguments[2]) + "/record.txt");
  for (const auto& row : kCases) {
    if (row.name == aArguments[1]) {
      record.Write(HasTrouble() ? "with the disruption"
                                : "without the disruption");
      auto code = row.run(record);
      record.Say(code == kBroken ? "the rule was broken"
                 : code == kHeld ? "the rule held"
                                 : "the case could not run");
      return code;
    }
  }
  std::cerr << "no such case\n";
  return kNotRun;
}
