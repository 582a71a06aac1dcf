#include "Commands.h"

#include <iostream>
#include <memory>

#include <CLI/CLI.hpp>
#include <schema/SettingsReader.h>
#include <schema/log.pb.h>
#include <schema/settings.pb.h>

#include "Output.h"

namespace waxwingyoke::tool {

namespace {

// An empty message of a kind of TOML file: tool, profile or else daemon.
std::unique_ptr<google::protobuf::Message>
MakeMessage(const std::string& aKind)
{
  if (aKind == "tool") {
    return std::make_unique<schema::ToolSettings>();
  }
  if (aKind == "profile") {
    return std::make_unique<schema::Profile>();
  }
  return std::make_unique<schema::DaemonSettings>();
}

int
Check(const std::string& aFile, const std::string& aKind)
{
  auto settings = MakeMessage(aKind);
  utils::Error reason;
  if (!schema::ReadSettingsFile(aFile, *settings, reason)) {
    return Fail(reason);
  }
  std::cout << aFile << ": valid\n";
  return 0;
}

int
PrintReference(const std::string& aKind)
{
  std::cout << schema::MakeSettingsReference(
    *MakeMessage(aKind)->GetDescriptor());
  return 0;
}

// Prints docs/ERRORS.md from the table of error traits; build.sh compares them.
int
PrintErrors()
{
  std::cout << "# Error kinds\n\nThe closed list. `run` tells whether the "
               "request may have run: `no` is proven.\n\n"
               "| kind | HTTP | RPC | run | retry | exit code |\n"
               "| --- | --- | --- | --- | --- | --- |\n";
  constexpr auto kEnd = static_cast<int>(utils::ErrorKind::Count);
  for (int i = 0; i < kEnd; ++i) {
    const auto& row = utils::GetErrorTraits(static_cast<utils::ErrorKind>(i));
    std::cout << "| `" << row.name << "` | " << row.httpStatus << " | "
              << row.rpcCode << " | " << utils::GetName(row.run) << " | "
              << (row.retry ? "yes" : "no") << " | " << row.exitCode << " |\n";
  }
  return 0;
}

struct Arguments
{
  std::string file;
  std::string kind = "daemon";
};

void
AddKindOption(CLI::App& aCommand, Arguments& aArguments)
{
  aCommand.add_option("--kind", aArguments.kind, "daemon, tool or profile")
    ->check(CLI::IsMember({ "daemon", "tool", "profile" }))
    ->capture_default_str();
}

} // namespace

void
AddSettingsCommands(CLI::App& aApp, Context& aContext)
{
  auto arguments = std::make_shared<Arguments>();
  auto* group = aApp.add_subcommand(
    "settings", "check settings files, print the reference pages");
  group->require_subcommand(1);

  auto* check =
    group->add_subcommand("check", "check a file and print the first error");
  check->add_option("file", arguments->file, "TOML file")->required();
  AddKindOption(*check, *arguments);
  check->callback([&aContext, arguments] {
    aContext.run = [arguments] {
      return Check(arguments->file, arguments->kind);
    };
  });

  auto* reference = group->add_subcommand(
    "reference", "print the reference page of a kind of file");
  AddKindOption(*reference, *arguments);
  reference->callback([&aContext, arguments] {
    aContext.run = [arguments] { return PrintReference(arguments->kind); };
  });

  auto* errors =
    group->add_subcommand("errors", "print the reference page of error kinds");
  errors->callback(
    [&aContext] { aContext.run = [] { return PrintErrors(); }; });
}

} // namespace waxwingyoke::tool
