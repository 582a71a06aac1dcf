// The stand-ins for the platform's services and the upstreams, one program
// with a subcommand for each.

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
  /** A Faults message as JSON, in force from the start. */
  std::string faults = "{}";
  std::vector<std::string> versions;
};

using Servers = std::vector<std::unique_ptr<net::HttpServer>>;

bool
Fail(const utils::Error& aReason)
{
  std::fprintf(stderr, "waxwingyoke-fakes: %s\n", aReason.detail.c_str());
  return false;
}

std::unique_ptr<fakes::FaultGate>
MakeGate(const Options& aOptions, std::uint64_t aOffset)
{
  auto gate = std::make_unique<fakes::FaultGate>(aOptions.seed + aOffset);
  fakes::Faults faults;
  utils::Error reason;
  if (!schema::FromJson(aOptions.faults, faults, reason)) {
    Fail(reason);
    return nullptr;
  }
  gate->SetFaults(faults);
  return gate;
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
    return Fail(reason);
  }
  auto server = net::HttpServer::Builder(aRuntime)
                  .SetEndpoint(*endpoint)
                  .SetHandler([router = std::move(aRouter)](
                                const auto& aRequest, auto& aWriter) {
                    router->Handle(aRequest, aWriter);
                  })
                  .Build(reason);
  if (!server) {
    return Fail(reason);
  }
  aServers.push_back(std::move(server));
  return true;
}

// A service with one state behind all its listening points.
template<typename Fake, typename AddRoutes>
int
RunShared(net::Runtime& aRuntime,
          const Options& aOptions,
          fakes::FaultGate& aGate,
          Fake&& aFake,
          AddRoutes aAddRoutes)
{
  Servers servers;
  bool listening =
    std::ranges::all_of(aOptions.listen, [&](const std::string& aListen) {
      auto router = std::make_shared<net::Router>();
      aGate.AddRoutes(*router);
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
         fakes::FaultGate& aGate)
{
  fakes::StoreFake store(aGate);
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
                   aGate,
                   store,
                   [](auto& aFake, auto& aRouter, const auto& aListen) {
                     aFake.AddRoutes(aRouter, aListen);
                   });
}

// One engine or plain service with its own state and faults.
template<typename Fake>
struct UpstreamUnit
{
  std::unique_ptr<fakes::FaultGate> gate;
  std::unique_ptr<fakes::Upstream> upstream;
  std::unique_ptr<Fake> fake;
};

template<typename Fake, typename MakeFake>
int
RunUpstreams(net::Runtime& aRuntime,
             const Options& aOptions,
             MakeFake aMakeFake)
{
  std::vector<UpstreamUnit<Fake>> units(aOptions.listen.size());
  for (std::size_t i = 0; i < units.size(); ++i) {
    auto& unit = units[i];
    utils::Error reason;
    auto endpoint = net::Endpoint::Parse(aOptions.listen[i]);
    unit.gate = MakeGate(aOptions, i);
    if (!endpoint || !unit.gate) {
      reason.detail = aOptions.listen[i] + ": broken option";
      Fail(reason);
      net::ExitProcess(2);
    }
    unit.upstream =
      std::make_unique<fakes::Upstream>(aRuntime, *endpoint, *unit.gate);
    unit.fake = aMakeFake(*unit.upstream, *unit.gate);
    if (!unit.upstream->Start(reason)) {
      Fail(reason);
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
    aRuntime, aOptions, [&](auto& aUpstream, auto& aGate) {
      return std::make_unique<fakes::EngineFake>(aUpstream, aGate, client);
    });
}

int
RunServices(net::Runtime& aRuntime, const Options& aOptions)
{
  return RunUpstreams<fakes::ServiceFake>(
    aRuntime, aOptions, [](auto& aUpstream, auto& aGate) {
      return std::make_unique<fakes::ServiceFake>(aUpstream, aGate);
    });
}

int
RunLog(net::Runtime& aRuntime, const Options& aOptions, fakes::FaultGate& aGate)
{
  fakes::LogFake log(aGate);
  return RunShared(
    aRuntime,
    aOptions,
    aGate,
    log,
    [](auto& aFake, auto& aRouter, const auto&) { aFake.AddRoutes(aRouter); });
}

int
RunVmList(net::Runtime& aRuntime,
          const Options& aOptions,
          fakes::FaultGate& aGate)
{
  fakes::VmListFake list(aGate);
  return RunShared(
    aRuntime,
    aOptions,
    aGate,
    list,
    [](auto& aFake, auto& aRouter, const auto&) { aFake.AddRoutes(aRouter); });
}

using SharedRunner =
  std::function<int(net::Runtime&, const Options&, fakes::FaultGate&)>;

// Each stand-in keeps to one thread: its state needs no guard.
int
RunOnOneThread(const Options& aOptions, const SharedRunner& aRunner)
{
  net::Runtime runtime(1);
  return runtime.Run([&] {
    auto gate = MakeGate(aOptions, 0);
    return gate ? aRunner(runtime, aOptions, *gate) : 2;
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
  command->add_option("--seed", aOptions.seed, "Seed of all that is drawn");
  command->add_option(
    "--faults", aOptions.faults, "Faults in force from the start, as JSON");
  return command;
}

CLI::App*
AddProxyCommand(CLI::App& aApp, fakes::ProxyOptions& aOptions)
{
  auto* command = aApp.add_subcommand("proxy", "The fault-injecting TCP proxy");
  command->add_option("--control", aOptions.control, "IP:PORT of its control")
    ->required();
  command->add_option("--link", aOptions.links, "LISTEN=TARGET, repeatable")
    ->required();
  command->add_option("--seed", aOptions.seed, "Seed of all that is drawn");
  return command;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Stand-ins for the platform and the upstreams");
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
