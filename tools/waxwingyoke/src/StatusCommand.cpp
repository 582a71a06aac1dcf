#include "StatusCommand.h"

#include <algorithm>
#include <iostream>
#include <memory>
#include <optional>

#include <CLI/CLI.hpp>
#include <membership/ClusterStatus.h>
#include <schema/Json.h>

#include "Commands.h"
#include "Output.h"

namespace waxwingyoke::tool {

namespace {

using membership::ClusterStatus;

// A change is in force everywhere within this time, or something is wrong.
constexpr utils::Millis kInForceLimit(16000);

void
PrintNodes(const ClusterStatus& aStatus)
{
  std::ranges::for_each(aStatus.nodes, [](const auto& aNode) {
    schema::StatusReply reply;
    if (aNode.reply) {
      reply = *aNode.reply;
    }
    reply.mutable_status()->set_vm(aNode.vm.id());
    if (!aNode.failure.empty()) {
      reply.mutable_status()->set_failure(aNode.failure);
    }
    std::cout << schema::ToJson(reply) << "\n";
  });
}

int
Print(const ClusterStatus& aStatus, std::uint64_t aOffset, bool aJson)
{
  if (aJson) {
    PrintNodes(aStatus);
  } else {
    std::cout << membership::Show(aStatus, aOffset);
  }
  if (membership::FindLaggingNodes(aStatus, aOffset).empty()) {
    return 0;
  }
  return utils::GetErrorTraits(utils::ErrorKind::TimedOut).exitCode;
}

int
ShowStatus(const Platform& aPlatform,
           std::optional<std::uint64_t> aOffset,
           utils::Millis aWait,
           bool aJson)
{
  membership::StatusReader reader(
    aPlatform.log, aPlatform.vmList, aPlatform.rpcClient);
  utils::Error reason;
  auto status = reader.WaitInForce(aOffset, aWait, reason);
  if (!status) {
    return Fail(reason);
  }
  return Print(*status, aOffset.value_or(status->GetTargetOffset()), aJson);
}

} // namespace

int
WaitInForce(const Platform& aPlatform,
            std::uint64_t aOffset,
            utils::Millis aWait)
{
  return ShowStatus(aPlatform, aOffset, aWait, false);
}

void
AddStatusCommand(CLI::App& aApp, Context& aContext)
{
  auto wait = std::make_shared<std::int64_t>(kInForceLimit.value);
  auto* status = aApp.add_subcommand(
    "status",
    "what is in force in each data centre, who lags, how the log is; exits 8 "
    "when something is not in force in time");
  status->add_option("--wait-ms", *wait, "how long a laggard is waited for, ms")
    ->capture_default_str();
  status->callback([&aContext, wait] {
    aContext.run = [&aContext, wait] {
      return RunOnPlatform(
        aContext.settingsFile, [&](const Platform& aPlatform) {
          return ShowStatus(
            aPlatform, std::nullopt, utils::Millis(*wait), aContext.json);
        });
    };
  });
}

} // namespace waxwingyoke::tool
