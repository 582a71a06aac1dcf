// The operators' tool with real processes: its output and its exit codes, which
// scripts rely on.

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include <sys/wait.h>

#include <bed/Bed.h>

using namespace waxwingyoke;
using bed::Bed;

namespace {

constexpr utils::Millis kToolTimeout(60000);

// The result of one run of the tool.
struct ToolRun
{
  int exitCode = -1;
  std::string output;
};

ToolRun
RunTool(Bed& aBed, std::vector<std::string> aArguments)
{
  auto settings = aBed.GetFolder() + "/tool.toml";
  auto log = aBed.GetEndpoint(bed::Service::Log).ToString();
  auto vms = aBed.GetEndpoint(bed::Service::VmList).ToString();
  std::ofstream(settings) << "secret = \"" << bed::kSecret
                          << "\"\nauthor = \"anna\"\n[platform]\nlog = \""
                          << log << "\"\nvm_list = \"" << vms << "\"\n";
  auto output = aBed.GetFolder() + "/tool.out";
  std::ofstream(output, std::ios::trunc).close();
  aArguments.insert(
    aArguments.begin(),
    { bed::GetProgramPath("waxwingyoke"), "--settings", settings });
  utils::Error reason;
  auto tool = bed::Process::Start(aArguments, output, reason);
  REQUIRE_MESSAGE(tool, reason.detail);
  REQUIRE(tool->WaitForEnd(kToolTimeout));
  std::ostringstream text;
  text << std::ifstream(output).rdbuf();
  return { WEXITSTATUS(tool->GetWaitStatus()), text.str() };
}

std::string
WriteProfile(Bed& aBed, const std::string& aGroup)
{
  auto file = aBed.GetFolder() + "/profile.toml";
  std::ofstream(file) << "name = \"register\"\nkind = \"service\"\n"
                      << "[vms]\ngroup = \"" << aGroup << "\"\n";
  return file;
}

bed::BedOptions
MakeOptions()
{
  bed::BedOptions options;
  options.sites = { { "budapest-1", "kozep-mo", 1, 1, 1 },
                    { "pecs-1", "dunantul-s", 1, 1, 0 } };
  return options;
}

/** A run of the tool and its expected result. */
struct Row
{
  const char* description;
  std::vector<std::string> arguments;
  int exitCode;
  const char* printed;
};

} // namespace

TEST_CASE(
  "the tool publishes, changes and retires a profile; exit codes by error")
{
  bed::RunWithBed(MakeOptions(), [](Bed& aBed) {
    auto file = WriteProfile(aBed, bed::kServiceGroup);
    const std::vector<Row> rows = {
      { "dry run", { "profile", "publish", file, "--dry-run" }, 0, "" },
      { "show before the publication",
        { "profile", "show", "register" },
        4,
        "unknown_profile" },
      { "publish", { "profile", "publish", file, "--wait" }, 0, "accepted at" },
      { "publish a second time",
        { "profile", "publish", file },
        5,
        "conflict" },
      { "list", { "profile", "list" }, 0, "register  revision 1" },
      { "show", { "profile", "show", "register" }, 0, "\"register\"" },
      { "old revision",
        { "profile", "change", file, "--replaces", "9" },
        5,
        "by anna" },
      { "change", { "profile", "change", file, "--wait" }, 0, "accepted at" },
      { "status", { "status" }, 0, "in force everywhere" },
      { "watch", { "rollout", "watch", "register" }, 0, "1 of 1 ready" },
      { "quarantine", { "quarantine", "list" }, 0, "" },
      { "as JSON", { "--json", "quarantine", "list" }, 0, "[]" },
      { "lift", { "quarantine", "lift", "ab" }, 0, "lifted ab" },
      { "retire",
        { "profile", "retire", "register", "--wait" },
        0,
        "accepted" },
      { "retire a second time",
        { "profile", "retire", "register" },
        4,
        "unknown_profile" },
    };
    for (const auto& row : rows) {
      auto run = RunTool(aBed, row.arguments);
      INFO(row.description, ": ", run.output);
      CHECK(run.exitCode == row.exitCode);
      CHECK(run.output.find(row.printed) != std::string::npos);
    }
  });
}

TEST_CASE("status names a lagging VM, and a log outage has its own exit code")
{
  bed::RunWithBed(MakeOptions(), [](Bed& aBed) {
    auto& entry = *aBed.GetEntries().back();
    aBed.Pause(entry);
    auto lagging = RunTool(aBed, { "status", "--wait-ms", "10" });
    CHECK(lagging.exitCode == 8);
    CHECK(lagging.output.find(entry.vm.id()) != std::string::npos);
    aBed.Resume(entry);
    fakes::Faults outage;
    outage.set_outage(true);
    REQUIRE(aBed.SetFaults(bed::Service::Log, outage));
    auto file = WriteProfile(aBed, bed::kServiceGroup);
    CHECK(RunTool(aBed, { "profile", "publish", file }).exitCode == 11);
    CHECK(RunTool(aBed, { "profile", "list" }).exitCode == 11);
  });
}
