#include "Commands.h"

#include <iostream>
#include <memory>
#include <optional>

#include <CLI/CLI.hpp>
#include <profiles/Publisher.h>

#include "Output.h"
#include "Platform.h"
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
Measure(const Platform& aPlatform,
        const std::string& aName,
        utils::Error& aReason)
{
  auto config = profiles::Publisher(aPlatform.log).ReadConfig(aReason);
  if (!config) {
    return std::nullopt;
  }
  const auto* profile = config->FindProfile(aName);
  if (profile == nullptr) {
    aReason.Set(utils::ErrorKind::UnknownProfile, aName);
    return std::nullopt;
  }
  membership::StatusReader reader(
    aPlatform.log, aPlatform.vmList, aPlatform.rpcClient);
  auto status = reader.Read(aReason);
  if (!status) {
    return std::nullopt;
  }
  return MeasureProgress(*profile, *status);
}

int
Watch(const Platform& aPlatform, const Arguments& aArguments, bool aJson)
{
  utils::Clock clock;
  auto deadline = clock.Now() + utils::Millis(aArguments.timeoutMs);
  while (true) {
    utils::Error reason;
    auto progress = Measure(aPlatform, aArguments.name, reason);
    if (!progress) {
      return Fail(reason);
    }
    std::cout << (aJson ? ShowJson(*progress) : Show(*progress)) << std::flush;
    if (progress->IsDone()) {
      return 0;
    }
    if (aArguments.once || clock.Now() >= deadline) {
      reason.Set(utils::ErrorKind::TimedOut, "the rollout is not done");
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
  auto* group = aApp.add_subcommand("rollout", "how far new weights are");
  group->require_subcommand(1);
  auto* watch = group->add_subcommand(
    "watch", "progress in each data centre until every VM is ready");
  watch->add_option("name", arguments->name, "the profile")->required();
  watch->add_flag("--once", arguments->once, "print once; exits 8 if not done");
  watch->add_option("--timeout-ms", arguments->timeoutMs, "give up after, ms")
    ->capture_default_str();
  watch->callback([&aContext, arguments] {
    aContext.run = [&aContext, arguments] {
      return RunOnPlatform(aContext.settingsFile,
                           [&](const Platform& aPlatform) {
                             return Watch(aPlatform, *arguments, aContext.json);
                           });
    };
  });
}

} // namespace waxwingyoke::tool
