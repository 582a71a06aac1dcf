// Fakes of the platform's services and of the upstreams, one program with a
// subcommand for each.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include <net/Runtime.h>
#include <schema/Json.h>
#include <telemetry/Logger.h>

#include "EngineFake.h"
#include "LogFake.h"
#include "Proxy.h"
#include "ServiceFake.h"
#include "StoreFake.h"
#include "VmListFake.h"

using namespace waxwingyoke;

namespace {

struct Options
{
  std::vector<std::string> listen;
  std::uint64_t seed = 1;
  /** Initial faults: a Faults message as JSON. */
  std::string faults = "{}";
  std::vector<std::string> versions;
};

using Servers = std::vector<std::unique_ptr<net::HttpServer>>;

bool
PrintError(const utils::Error& aReason)
{
  std::fprintf(stderr, "waxwingyoke-fakes: %s\n", aReason.detail.c_str());
  return false;
}

std::unique_ptr<fakes::FaultInjector>
MakeFaultInjector(const Options& aOptions, std::uint64_t aOffset)
{
  auto faultInjector =
    std::make_unique<fakes::FaultInjector>(aOptions.seed + aOffset);
  fakes::Faults faults;
  utils::Error reason;
  if (!schema::FromJson(aOptions.faults, faults, reason)) {
    PrintError(reason);
    return nullptr;
  }
  faultInjector->SetFaults(faults);
  return faultInjector;
}

bool
Serve(net::Runtime& aRuntime,
      const std::string& aListen,
      std::shared_ptr<net::Router> aRouter,
      Servers& aServers)
{
  utils::Error reason;
  auto endpoint = net::Endpoint::Parse(aListen);
  if (!endpoint) {
    reason.detail = aListen + " is not IP:PORT";
    return PrintError(reason);
  }
  auto server = net::HttpServer::Builder(aRuntime)
                  .SetEndpoint(*endpoint)
                  .SetHandler([router = std::move(aRouter)](
                                const auto& aRequest, auto& aWriter) {
                    router->Handle(aRequest, aWriter);
                  })
                  .Build(reason);
  if (!server) {
    return PrintError(reason);
  }
  aServers.push_back(std::move(server));
  return true;
}

// Runs a service that shares one state among all its listening addresses.
template<typename Fake, typename AddRoutes>
int
RunShared(net::Runtime& aRuntime,
          const Options& aOptions,
          fakes::FaultInjector& aFaultInjector,
          Fake&& aFake,
          AddRoutes aAddRoutes)
{
  Servers servers;
  bool listening =
    std::ranges::all_of(aOptions.listen, [&](const std::string& aListen) {
      auto router = std::make_shared<net::Router>();
      aFaultInjector.AddRoutes(*router);
      aAddRoutes(aFake, *router, aListen);
      return Serve(aRuntime, aListen, router, servers);
    });
  if (listening) {
    aRuntime.WaitForSignal();
  }
  net::ExitProcess(listening ? 0 : 1);
}

int
RunStore(net::Runtime& aRuntime,
         const Options& aOptions,
         fakes::FaultInjector& aFaultInjector)
{
  fakes::StoreFake store(aFaultInjector);
  for (const auto& text : aOptions.versions) {
    auto spec = fakes::ParseVersionSpec(text);
    if (!spec) {
      std::fprintf(stderr, "expected NAME:BYTES:CHUNK_BYTES:SEED\n");
      return 2;
    }
    std::printf("%s\n", store.MakeVersion(*spec).version().c_str());
  }
  std::fflush(stdout);
  return RunShared(aRuntime,
                   aOptions,
                   aFaultInjector,
                   store,
                   [](auto& aFake, auto& aRouter, const auto& aListen) {
                     aFake.AddRoutes(aRouter, aListen);
                   });
}

// An engine or plain service with its own state and faults.
template<typename Fake>
struct UpstreamInstance
{
  std::unique_ptr<fakes::FaultInjector> faultInjector;
  std::unique_ptr<fakes::Upstream> upstream;
  std::unique_ptr<Fake> fake;
};

template<typename Fake, typename MakeFake>
int
RunUpstreams(net::Runtime& aRuntime,
             const Options& aOptions,
             MakeFake aMakeFake)
{
  std::vector<UpstreamInstance<Fake>> instances(aOptions.listen.size());
  for (std::size_t i = 0; i < instances.size(); ++i) {
    auto& instance = instances[i];
    utils::Error reason;
    auto endpoint = net::Endpoint::Parse(aOptions.listen[i]);
    instance.faultInjector = MakeFaultInjector(aOptions, i);
    if (!endpoint || !instance.faultInjector) {
      reason.detail =
        aOptions.listen[i] + ": not IP:PORT, or --faults is malformed";
      PrintError(reason);
      net::ExitProcess(2);
    }
    instance.upstream = std::make_unique<fakes::Upstream>(
      aRuntime, *endpoint, *instance.faultInjector);
    instance.fake = aMakeFake(*instance.upstream, *instance.faultInjector);
    if (!instance.upstream->Start(reason)) {
      PrintError(reason);
      net::ExitProcess(1);
    }
  }
  aRuntime.WaitForSignal();
  net::ExitProcess(0);
}

int
RunEngines(net::Runtime& aRuntime, const Options& aOptions)
{
  net::HttpClient client;
  return RunUpstreams<fakes::EngineFake>(
    aRuntime, aOptions, [&](auto& aUpstream, auto& aFaultInjector) {
      return std::make_unique<fakes::EngineFake>(
        aUpstream, aFaultInjector, client);
    });
}

int
RunServices(net::Runtime& aRuntime, const Options& aOptions)
{
  return RunUpstreams<fakes::ServiceFake>(
    aRuntime, aOptions, [](auto& aUpstream, auto& aFaultInjector) {
      return std::make_unique<fakes::ServiceFake>(aUpstream, aFaultInjector);
    });
}

int
RunLog(net::Runtime& aRuntime,
       const Options& aOptions,
       fakes::FaultInjector& aFaultInjector)
{
  fakes::LogFake log(aFaultInjector);
  return RunShared(
    aRuntime,
    aOptions,
    aFaultInjector,
    log,
    [](auto& aFake, auto& aRouter, const auto&) { aFake.AddRoutes(aRouter); });
}

int
RunVmList(net::Runtime& aRuntime,
          const Options& aOptions,
          fakes::FaultInjector& aFaultInjector)
{
  fakes::VmListFake list(aFaultInjector);
  return RunShared(
    aRuntime,
    aOptions,
    aFaultInjector,
    list,
    [](auto& aFake, auto& aRouter, const auto&) { aFake.AddRoutes(aRouter); });
}

using SharedRunner =
  std::function<int(net::Runtime&, const Options&, fakes::FaultInjector&)>;

// Runs a fake on a single thread, so that its state needs no locks.
int
RunOnOneThread(const Options& aOptions, const SharedRunner& aRunner)
{
  net::Runtime runtime(1);
  return runtime.Run([&] {
    auto faultInjector = MakeFaultInjector(aOptions, 0);
    return faultInjector ? aRunner(runtime, aOptions, *faultInjector) : 2;
  });
}

CLI::App*
AddCommand(CLI::App& aApp,
           const std::string& aName,
           const std::string& aHelp,
           Options& aOptions)
{
  auto* command = aApp.add_subcommand(aName, aHelp);
  command->add_option("--listen", aOptions.listen, "IP:PORT, repeatable")
    ->required();
  command->add_option("--seed", aOptions.seed, "Seed of the random faults");
  command->add_option("--faults", aOptions.faults, "Initial faults, as JSON");
  return command;
}

CLI::App*
AddProxyCommand(CLI::App& aApp, fakes::ProxyOptions& aOptions)
{
  auto* command = aApp.add_subcommand("proxy", "The fault-injecting TCP proxy");
  command
    ->add_option(
      "--control", aOptions.control, "IP:PORT of the control interface")
    ->required();
  command->add_option("--link", aOptions.links, "LISTEN=TARGET, repeatable")
    ->required();
  command->add_option("--seed", aOptions.seed, "Seed of the random faults");
  return command;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Fakes of the platform's services and of the upstreams");
  app.require_subcommand(1);
  Options options;
  auto* log = AddCommand(app, "log", "The log service", options);
  auto* store =
    AddCommand(app, "store", "The weight store or the origin", options);
  store->add_option(
    "--make-version", options.versions, "NAME:BYTES:CHUNK_BYTES:SEED");
  auto* vms = AddCommand(app, "vms", "The list of VMs", options);
  auto* engine = AddCommand(app, "engine", "Model engines", options);
  auto* service = AddCommand(app, "service", "Plain services", options);
  fakes::ProxyOptions proxyOptions;
  auto* proxy = AddProxyCommand(app, proxyOptions);
  CLI11_PARSE(app, aCount, aArguments);

  telemetry::StartLogging({ utils::LogLevel::Warn, "", "fakes" });
  if (*proxy) {
    return fakes::RunProxy(proxyOptions);
  }
  if (*log) {
    return RunOnOneThread(options, &RunLog);
  }
  if (*store) {
    return RunOnOneThread(options, &RunStore);
  }
  if (*vms) {
    return RunOnOneThread(options, &RunVmList);
  }
  if (*engine) {
    return RunOnOneThread(options,
                          [](auto& aRuntime, const auto& aOptions, auto&) {
                            return RunEngines(aRuntime, aOptions);
                          });
  }
  if (*service) {
    return RunOnOneThread(options,
                          [](auto& aRuntime, const auto& aOptions, auto&) {
                            return RunServices(aRuntime, aOptions);
                          });
  }
  return 2;
}
