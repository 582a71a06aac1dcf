#include "Commands.h"

#include <iostream>
#include <memory>
#include <optional>

#include <CLI/CLI.hpp>
#include <profiles/Publisher.h>

#include "Output.h"
#include "PlatformClients.h"
#include "RolloutProgress.h"

namespace waxwingyoke::tool {

namespace {

constexpr utils::Millis kPollInterval(1000);

struct Arguments
{
  std::string name;
  bool once = false;
  std::int64_t timeoutMs = 900000;
};

std::optional<RolloutProgress>
ReadProgress(const PlatformClients& aClients,
             const std::string& aName,
             utils::Error& aReason)
{
  auto config = profiles::Publisher(aClients.log).ReadConfig(aReason);
  if (!config) {
    return std::nullopt;
  }
  const auto* profile = config->FindProfile(aName);
  if (profile == nullptr) {
    aReason.Set(utils::ErrorKind::UnknownProfile, aName);
    return std::nullopt;
  }
  membership::StatusReader reader(
    aClients.log, aClients.vmList, aClients.rpcClient);
  auto status = reader.Read(aReason);
  if (!status) {
    return std::nullopt;
  }
  return ComputeProgress(*profile, *status);
}

int
Watch(const PlatformClients& aClients, const Arguments& aArguments, bool aJson)
{
  utils::Clock clock;
  auto deadline = clock.Now() + utils::Millis(aArguments.timeoutMs);
  while (true) {
    utils::Error reason;
    auto progress = ReadProgress(aClients, aArguments.name, reason);
    if (!progress) {
      return Fail(reason);
    }
    std::cout << (aJson ? FormatJson(*progress) : FormatText(*progress))
              << std::flush;
    if (progress->IsDone()) {
      return 0;
    }
    if (aArguments.once || clock.Now() >= deadline) {
      reason.Set(utils::ErrorKind::TimedOut,
                 "not every VM of the profile is ready yet");
      return Fail(reason);
    }
    net::Runtime::Sleep(kPollInterval);
  }
}

} // namespace

void
AddRolloutCommands(CLI::App& aApp, Context& aContext)
{
  auto arguments = std::make_shared<Arguments>();
  auto* group =
    aApp.add_subcommand("rollout", "progress of the rollout of new weights");
  group->require_subcommand(1);
  auto* watch = group->add_subcommand(
    "watch", "print the progress in each data centre until every VM is ready");
  watch->add_option("name", arguments->name, "the profile")->required();
  watch->add_flag(
    "--once", arguments->once, "print once; exits with 8 if a VM is not ready");
  watch->add_option("--timeout-ms", arguments->timeoutMs, "timeout, ms")
    ->capture_default_str();
  watch->callback([&aContext, arguments] {
    aContext.run = [&aContext, arguments] {
      return RunWithPlatformClients(
        aContext.settingsFile, [&](const PlatformClients& aClients) {
          return Watch(aClients, *arguments, aContext.json);
        });
    };
  });
}

} // namespace waxwingyoke::tool
