#include "FleetRole.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <string_view>

#include <adapter/Codecs.h>
#include <adapter/PlatformPorts.h>
#include <fleet/Entry.h>
#include <fleet/Side.h>
#include <net/HttpClient.h>
#include <net/Runtime.h>
#include <telemetry/Logger.h>

namespace waxwingyoke::daemon {

namespace {

using utils::Millis;

struct RoleName
{
  FleetRole role;
  std::string_view name;
};

constexpr std::array<RoleName, 2> kRoles{ {
  { FleetRole::Entry, "fleet-entry" },
  { FleetRole::Side, "fleet-side" },
} };

// Some seconds of lines at a full entry's rate; the rest is dropped.
constexpr std::size_t kLogBufferBytes = 256 * 1024;
// A peer that is cut off acknowledges nothing; no answer of this fleet's
// upstreams is that late.
constexpr Millis kUnacknowledgedLimit(2500);

int
Fail(const utils::Error& aReason)
{
  std::cerr << "waxwingyoked: " << aReason.detail << "\n";
  return utils::GetErrorTraits(aReason.kind).exitCode;
}

// Returns at the signal to stop; a changed settings file is told of only, as
// what it holds is fixed for a process's life.
void
AwaitStop(net::Runtime& aRuntime, const telemetry::Logger& aLogger)
{
  auto signal = aRuntime.WaitForSignal();
  while (signal == SIGHUP) {
    utils::Error reason;
    auto settings = adapter::ReadSettings(reason);
    aLogger.Info(
      "settings read again",
      { { "usable", settings ? "yes" : "no" }, { "reason", reason.detail } });
    signal = aRuntime.WaitForSignal();
  }
  aLogger.Info("stopping", { { "signal", std::to_string(signal) } });
}

int
ServeEntry(net::Runtime& aRuntime,
           const platform::FleetSettings& aSettings,
           fleet::FleetPorts aPorts)
{
  telemetry::Logger logger("daemon");
  auto dialect = adapter::MakeRequestDialect();
  aPorts.dialect = dialect.get();
  fleet::Entry entry(aRuntime, aSettings, std::move(aPorts));
  utils::Error reason;
  if (!entry.Start(reason)) {
    net::ExitProcess(Fail(reason));
  }
  logger.Info("started", { { "role", "entry" } });
  AwaitStop(aRuntime, logger);
  entry.Drain();
  logger.Info("stopped");
  net::ExitProcess(0);
}

int
ServeSide(net::Runtime& aRuntime,
          const platform::FleetSettings& aSettings,
          fleet::FleetPorts aPorts)
{
  telemetry::Logger logger("daemon");
  auto endpoint = aSettings.localUpstream.value_or(net::Endpoint());
  auto upstream = adapter::MakeLocalUpstream(aPorts.client, endpoint);
  auto origin = adapter::MakeWeightOrigin(aPorts.client);
  fleet::Side side(aRuntime, aSettings, std::move(aPorts), *upstream, *origin);
  utils::Error reason;
  if (!side.Start(reason)) {
    net::ExitProcess(Fail(reason));
  }
  logger.Info("started", { { "role", "side" } });
  AwaitStop(aRuntime, logger);
  logger.Info("stopped");
  net::ExitProcess(0);
}

} // namespace

std::optional<FleetRole>
FindFleetRole(int aCount, char** aArguments)
{
  if (aCount < 2) {
    return std::nullopt;
  }
  auto row =
    std::ranges::find(kRoles, std::string_view(aArguments[1]), &RoleName::name);
  return row == kRoles.end() ? std::nullopt : std::optional(row->role);
}

int
RunFleetRole(FleetRole aRole)
{
  utils::Error reason;
  auto settings = adapter::ReadSettings(reason);
  if (!settings) {
    return Fail(reason);
  }
  telemetry::StartLogging(
    { utils::LogLevel::Info, "", settings->vm, kLogBufferBytes });
  // One thread: the VMs have a part of one core.
  net::Runtime runtime(1);
  net::HttpClient client(settings->address);
  client.SetUnacknowledgedLimit(kUnacknowledgedLimit);
  auto log = adapter::MakeKeyedLog(client, settings->store);
  fleet::FleetPorts ports{ client, *log, adapter::MakeCodecs(), nullptr };
  return runtime.Run([&] {
    return aRole == FleetRole::Entry ? ServeEntry(runtime, *settings, ports)
                                     : ServeSide(runtime, *settings, ports);
  });
}

} // namespace waxwingyoke::daemon
