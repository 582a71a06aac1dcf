// waxwingyoked: the daemon. It runs either as an entry, the ingress proxy for
// callers' requests, or as a side, the sidecar beside one upstream.

#include <csignal>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>
#include <schema/SettingsReader.h>
#include <telemetry/Logger.h>
#include <telemetry/Span.h>
#include <utils/Hash.h>

#include "ControlPort.h"
#include "DaemonContext.h"
#include "FleetRole.h"
#include "Role.h"

namespace {

using namespace waxwingyoke;
using namespace waxwingyoke::daemon;

int
Fail(const utils::Error& aReason)
{
  std::cerr << "waxwingyoked: " << aReason.detail << "\n";
  return utils::GetErrorTraits(aReason.kind).exitCode;
}

std::optional<net::Endpoint>
ParseEndpoint(const std::string& aText,
              const std::string& aKey,
              utils::Error& aReason)
{
  auto endpoint = net::Endpoint::Parse(aText);
  if (!endpoint) {
    aReason.Set(utils::ErrorKind::BadSettings,
                "'" + aKey + "' is '" + aText + "', expected IP:port");
  }
  return endpoint;
}

bool
CheckSettings(const schema::DaemonSettings& aSettings, utils::Error& aReason)
{
  const auto& role = aSettings.node().role();
  if (role != "entry" && role != "side") {
    aReason.Set(utils::ErrorKind::BadSettings,
                "'role' is '" + role + "', expected entry or side");
    return false;
  }
  if (role == "side" && !aSettings.has_side()) {
    aReason.Set(utils::ErrorKind::BadSettings,
                "missing table 'side' for role side");
    return false;
  }
  const auto& kind = aSettings.side().kind();
  if (role == "side" && kind != "engine" && kind != "service") {
    aReason.Set(utils::ErrorKind::BadSettings,
                "'kind' is '" + kind + "', expected engine or service");
    return false;
  }
  const auto& platform = aSettings.platform();
  return ParseEndpoint(platform.log(), "log", aReason) &&
         ParseEndpoint(platform.vm_list(), "vm_list", aReason) &&
         (role == "entry" ||
          ParseEndpoint(aSettings.side().upstream(), "upstream", aReason));
}

// Serves until SIGTERM or SIGINT, then drains and exits the process. Never
// returns, because fibers that wait for peers do not end by themselves.
int
Serve(net::Runtime& aRuntime, const schema::DaemonSettings& aSettings)
{
  telemetry::Logger logger("daemon");
  net::HttpClient httpClient(aSettings.node().address());
  rpc::RpcClient rpcClient(httpClient, aSettings.node().secret());
  platform::LogClient log(httpClient,
                          *net::Endpoint::Parse(aSettings.platform().log()));
  platform::VmListClient vmList(
    httpClient, *net::Endpoint::Parse(aSettings.platform().vm_list()));
  membership::Node node(
    aRuntime, aSettings, utils::MakeUniqueId(), log, vmList, rpcClient);
  DaemonContext context{ aRuntime,
                         aSettings,
                         httpClient,
                         rpcClient,
                         log,
                         node,
                         std::make_shared<net::RequestMemory>(
                           aSettings.node().request_memory_bytes()) };
  auto role = aSettings.node().role() == "entry" ? MakeEntryRole(context)
                                                 : MakeSideRole(context);
  ControlPort control(context, *role);
  utils::Error reason;
  // The control port is opened first: as only one process can bind it, a second
  // side on the same VM fails here.
  if (!control.Start(reason) || !role->Start(reason)) {
    net::ExitProcess(Fail(reason));
  }
  node.Start();
  logger.Info("started", { { "role", aSettings.node().role() } });
  auto signal = aRuntime.WaitForSignal();
  while (signal == SIGHUP) {
    logger.Warn("settings are read only at startup; restart to apply changes");
    signal = aRuntime.WaitForSignal();
  }
  logger.Info("draining", { { "signal", std::to_string(signal) } });
  node.UpdateStatus(
    [](schema::NodeStatus& aStatus) { aStatus.set_leaving(true); });
  role->Drain();
  control.Close();
  logger.Info("stopped");
  net::ExitProcess(0);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  // Until the roles wait for signals: the settings are yet to be read.
  std::signal(SIGHUP, SIG_IGN);
  auto fleetRole = ParseFleetRole(aCount, aArguments);
  if (fleetRole) {
    return RunFleetRole(*fleetRole);
  }
  CLI::App app{ "Runs the daemon of waxwingyoke as an entry or a side. "
                "Settings are read only at startup; restart to apply a changed "
                "file. SIGTERM drains: new requests are refused and running "
                "requests are finished." };
  std::string file;
  bool checkOnly = false;
  app.add_option("--settings", file, "TOML file with the settings")->required();
  app.add_flag("--check", checkOnly, "check the settings and exit");
  CLI11_PARSE(app, aCount, aArguments);

  schema::DaemonSettings settings;
  utils::Error reason;
  if (!schema::ReadSettingsFile(file, settings, reason)) {
    return Fail(reason);
  }
  if (!CheckSettings(settings, reason)) {
    reason.detail = file + ": " + reason.detail;
    return Fail(reason);
  }
  if (checkOnly) {
    return 0;
  }
  telemetry::StartLogging({ telemetry::ParseLogLevel(settings.log().level()),
                            settings.log().file(),
                            settings.node().vm() });
  telemetry::StartSpans(settings.log().spans());
  net::Runtime runtime(settings.node().threads());
  return runtime.Run([&] { return Serve(runtime, settings); });
}
