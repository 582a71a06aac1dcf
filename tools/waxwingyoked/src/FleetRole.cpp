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

constexpr std::array<RoleName, 2> kRoleNames{ {
  { FleetRole::Entry, "fleet-entry" },
  { FleetRole::Side, "fleet-side" },
} };

// Holds a few seconds of lines of an entry at full load; lines that do not fit
// are dropped.
constexpr std::size_t kLogBufferBytes = 256 * 1024;
// A connection whose sent bytes stay unacknowledged for longer counts as
// broken: a partitioned peer acknowledges nothing, and no upstream of this
// fleet takes that long to answer.
constexpr Millis kUnacknowledgedTimeout(2500);

int
Fail(const utils::Error& aReason)
{
  std::cerr << "waxwingyoked: " << aReason.detail << "\n";
  return utils::GetErrorTraits(aReason.kind).exitCode;
}

// Blocks until SIGTERM or SIGINT. SIGHUP only reads the settings file and logs
// whether it is usable: the settings in use are fixed until the process ends.
void
WaitForStopSignal(net::Runtime& aRuntime, const telemetry::Logger& aLogger)
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
  WaitForStopSignal(aRuntime, logger);
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
  WaitForStopSignal(aRuntime, logger);
  logger.Info("stopped");
  net::ExitProcess(0);
}

} // namespace

std::optional<FleetRole>
ParseFleetRole(int aCount, char** aArguments)
{
  if (aCount < 2) {
    return std::nullopt;
  }
  auto row = std::ranges::find(
    kRoleNames, std::string_view(aArguments[1]), &RoleName::name);
  return row == kRoleNames.end() ? std::nullopt : std::optional(row->role);
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
  // One thread, as each VM has only a fraction of a core.
  net::Runtime runtime(1);
  net::HttpClient client(settings->address);
  client.SetUnacknowledgedLimit(kUnacknowledgedTimeout);
  auto log = adapter::MakeKeyedLog(client, settings->store);
  fleet::FleetPorts ports{ client, *log, adapter::MakeCodecs(), nullptr };
  return runtime.Run([&] {
    return aRole == FleetRole::Entry ? ServeEntry(runtime, *settings, ports)
                                     : ServeSide(runtime, *settings, ports);
  });
}

} // namespace waxwingyoke::daemon
