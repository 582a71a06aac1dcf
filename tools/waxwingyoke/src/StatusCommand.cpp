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

// A change that takes longer to be in force on every node indicates a fault.
constexpr utils::Millis kInForceTimeout(16000);

// Prints one StatusReply a line, with the VM's id and the reason filled in for
// a node that did not answer.
void
PrintNodesAsJson(const ClusterStatus& aStatus)
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
PrintStatus(const ClusterStatus& aStatus, std::uint64_t aOffset, bool aJson)
{
  if (aJson) {
    PrintNodesAsJson(aStatus);
  } else {
    std::cout << membership::Show(aStatus, aOffset);
  }
  if (membership::FindLaggingNodes(aStatus, aOffset).empty()) {
    return 0;
  }
  return utils::GetErrorTraits(utils::ErrorKind::TimedOut).exitCode;
}

int
ShowStatus(const PlatformClients& aClients,
           std::optional<std::uint64_t> aOffset,
           utils::Millis aWait,
           bool aJson)
{
  membership::StatusReader reader(
    aClients.log, aClients.vmList, aClients.rpcClient);
  utils::Error reason;
  auto status = reader.WaitInForce(aOffset, aWait, reason);
  if (!status) {
    return Fail(reason);
  }
  return PrintStatus(
    *status, aOffset.value_or(status->GetTargetOffset()), aJson);
}

} // namespace

int
WaitInForce(const PlatformClients& aClients,
            std::uint64_t aOffset,
            utils::Millis aWait)
{
  return ShowStatus(aClients, aOffset, aWait, false);
}

void
AddStatusCommand(CLI::App& aApp, Context& aContext)
{
  auto wait = std::make_shared<std::int64_t>(kInForceTimeout.value);
  auto* status = aApp.add_subcommand(
    "status",
    "show what is in force in each data centre, lagging nodes and the log's "
    "state; exits with 8 if the newest revision is not in force in time");
  status
    ->add_option("--wait-ms", *wait, "how long to wait for lagging nodes, ms")
    ->capture_default_str();
  status->callback([&aContext, wait] {
    aContext.run = [&aContext, wait] {
      return RunWithPlatformClients(
        aContext.settingsFile, [&](const PlatformClients& aClients) {
          return ShowStatus(
            aClients, std::nullopt, utils::Millis(*wait), aContext.json);
        });
    };
  });
}

} // namespace waxwingyoke::tool
