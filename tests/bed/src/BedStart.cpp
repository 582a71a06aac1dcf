#include <bed/Bed.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <net/Runtime.h>
#include <schema/Json.h>

namespace waxwingyoke::bed {

namespace {

using utils::Millis;

constexpr std::uint16_t kLogPort = 9001;
constexpr std::uint16_t kStorePort = 9002;
constexpr std::uint16_t kOriginPort = 9003;
constexpr std::uint16_t kVmListPort = 9004;
constexpr std::uint16_t kProxyPort = 9010;
// The proxy listens at the port of its target plus this step.
constexpr std::uint16_t kProxyPortStep = 100;
constexpr unsigned kPlatformHost = 2;
constexpr std::array kLinks{ Link::Control, Link::Upstream, Link::Log };
constexpr Millis kStartTimeout(20000);
// If this environment variable is set, test beds do not delete their folders
// with settings and logs, so that a rare failure can be analysed.
constexpr const char* kKeepVariable = "WAXWINGYOKE_KEEP_BEDS";

std::string
QuoteToml(const std::string& aText)
{
  return "\"" + aText + "\"";
}

} // namespace

Bed::Bed(BedOptions aOptions)
  : options_(std::move(aOptions))
{
}

Bed::~Bed()
{
  nodes_.clear();
  fakes_.clear();
  bool kept = options_.keepFolder || std::getenv(kKeepVariable) != nullptr;
  if (!kept && !folder_.empty() && std::uncaught_exceptions() == 0) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

std::unique_ptr<Bed>
Bed::Make(BedOptions aOptions, utils::Error& aReason)
{
  std::unique_ptr<Bed> bed(new Bed(std::move(aOptions)));
  return bed->Start(aReason) ? std::move(bed) : nullptr;
}

bool
Bed::Start(utils::Error& aReason)
{
  block_ = AddressBlock::Acquire(aReason);
  if (!block_) {
    return false;
  }
  auto pattern =
    (std::filesystem::temp_directory_path() / "waxwingyoke-bed-XXXXXX")
      .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    aReason.Set(utils::ErrorKind::Internal, "cannot create a temporary folder");
    return false;
  }
  folder_ = pattern;
  CreateNodes();
  return StartPlatform(aReason) && StartUpstreams(aReason) &&
         (!options_.proxied || StartProxy(aReason)) && PutVms(aReason) &&
         (!options_.startDaemons || StartDaemons(aReason));
}

void
Bed::CreateNodes()
{
  for (unsigned i = 0; i < options_.sites.size(); ++i) {
    const auto& site = options_.sites[i];
    unsigned index = 0;
    auto add = [&](std::size_t aCount, const char* aKind) {
      for (std::size_t k = 0; k < aCount; ++k) {
        AddNode(site, i, ++index, aKind);
      }
    };
    add(site.entries, "entry");
    add(site.sides, "side");
    add(site.services, "service");
  }
}

BedNode&
Bed::AddNode(const Site& aSite,
             unsigned aSiteIndex,
             unsigned aIndex,
             const std::string& aKind)
{
  auto node = std::make_unique<BedNode>();
  auto address = block_->GetAddress(aSiteIndex + 1, aIndex);
  auto& vm = node->vm;
  vm.set_id(aKind + "-" + aSite.dataCentre + "-" + std::to_string(aIndex));
  vm.set_address(address);
  vm.set_control_port(kControlPort + (options_.proxied ? kProxyPortStep : 0));
  vm.set_role(aKind == "entry" ? "entry" : "side");
  vm.set_group(aKind == "entry"  ? "entry"
               : aKind == "side" ? kEngineGroup
                                 : kServiceGroup);
  vm.set_data_centre(aSite.dataCentre);
  vm.set_region(aSite.region);
  node->control = { address, kControlPort };
  node->caller = { address, kCallerPort };
  node->upstream = { address, kUpstreamPort };
  node->isService = aKind == "service";
  node->settingsFile = folder_ + "/" + vm.id() + ".toml";
  node->logFile = folder_ + "/" + vm.id() + ".log";
  nodes_.push_back(std::move(node));
  return *nodes_.back();
}

net::Endpoint
Bed::GetEndpoint(Service aService) const
{
  auto address = block_->GetAddress(0, kPlatformHost);
  switch (aService) {
    case Service::Log:
      return { address, kLogPort };
    case Service::Store:
      return { address, kStorePort };
    case Service::Origin:
      return { address, kOriginPort };
    case Service::VmList:
      return { address, kVmListPort };
  }
  return {};
}

bool
Bed::StartFake(const std::string& aCommand,
               const std::vector<net::Endpoint>& aListen,
               const fakes::Faults& aFaults,
               utils::Error& aReason)
{
  std::vector<std::string> arguments{
    GetProgramPath("waxwingyoke-fakes"), aCommand,   "--seed",
    std::to_string(options_.seed),       "--faults", schema::ToJson(aFaults)
  };
  for (const auto& endpoint : aListen) {
    arguments.insert(arguments.end(), { "--listen", endpoint.ToString() });
  }
  auto output =
    folder_ + "/" + aCommand + "-" + std::to_string(fakes_.size()) + ".log";
  auto process = Process::Start(arguments, output, aReason);
  if (!process) {
    return false;
  }
  fakes_.push_back(std::move(process));
  return true;
}

bool
Bed::StartPlatform(utils::Error& aReason)
{
  // Each VM reads weights at an endpoint of its own, so that the fakes count
  // the bytes served per VM.
  std::vector<net::Endpoint> store{ GetEndpoint(Service::Store) };
  std::vector<net::Endpoint> origin{ GetEndpoint(Service::Origin) };
  for (const auto& node : nodes_) {
    if (node->IsEngineSide()) {
      store.push_back({ node->vm.address(), kStorePort });
      origin.push_back({ node->vm.address(), kOriginPort });
    }
  }
  auto& faults = options_.serviceFaults;
  bool started =
    StartFake(
      "log", { GetEndpoint(Service::Log) }, faults[Service::Log], aReason) &&
    StartFake("store", store, faults[Service::Store], aReason) &&
    StartFake("store", origin, faults[Service::Origin], aReason) &&
    StartFake("vms",
              { GetEndpoint(Service::VmList) },
              faults[Service::VmList],
              aReason);
  if (!started) {
    return false;
  }
  bool answering = std::ranges::all_of(
    std::vector{
      Service::Log, Service::Store, Service::Origin, Service::VmList },
    [this](Service aService) { return WaitForFake(GetEndpoint(aService)); });
  if (!answering) {
    aReason.Set(utils::ErrorKind::Internal,
                "a fake of the platform does not answer, see " + folder_);
  }
  return answering;
}

net::Endpoint
Bed::GetProxyControl() const
{
  return { block_->GetAddress(0, kPlatformHost), kProxyPort };
}

net::Endpoint
Bed::GetLinkTarget(const BedNode& aNode, Link aLink) const
{
  switch (aLink) {
    case Link::Control:
      return aNode.control;
    case Link::Upstream:
      return aNode.upstream;
    case Link::Log:
      return GetEndpoint(Service::Log);
  }
  return {};
}

net::Endpoint
Bed::GetLinkEndpoint(const BedNode& aNode, Link aLink) const
{
  auto target = GetLinkTarget(aNode, aLink);
  if (!options_.proxied) {
    return target;
  }
  auto port = static_cast<std::uint16_t>(target.port + kProxyPortStep);
  return { aNode.vm.address(), port };
}

bool
Bed::StartProxy(utils::Error& aReason)
{
  std::vector<std::string> arguments{ GetProgramPath("waxwingyoke-fakes"),
                                      "proxy",
                                      "--seed",
                                      std::to_string(options_.seed),
                                      "--control",
                                      GetProxyControl().ToString() };
  for (const auto& node : nodes_) {
    for (auto link : kLinks) {
      if (node->IsEntry() && link == Link::Upstream) {
        continue;
      }
      arguments.insert(arguments.end(),
                       { "--link",
                         GetLinkEndpoint(*node, link).ToString() + "=" +
                           GetLinkTarget(*node, link).ToString() });
    }
  }
  auto process = Process::Start(arguments, folder_ + "/proxy.log", aReason);
  if (!process) {
    return false;
  }
  fakes_.push_back(std::move(process));
  bool answers = WaitFor([this] { return SetAllLinks({}); }, kStartTimeout);
  if (!answers) {
    aReason.Set(utils::ErrorKind::Internal, "the proxy does not answer");
  }
  return answers;
}

bool
Bed::SetLink(const BedNode& aNode, Link aLink, fakes::LinkFaults aFaults)
{
  aFaults.set_listen(GetLinkEndpoint(aNode, aLink).ToString());
  return SetAllLinks(aFaults);
}

bool
Bed::SetAllLinks(const fakes::LinkFaults& aFaults)
{
  std::string answer;
  utils::Error ignored;
  return Send(GetProxyControl(),
              "POST",
              "/links",
              schema::ToJson(aFaults),
              answer,
              ignored);
}

bool
Bed::StartUpstreams(utils::Error& aReason)
{
  std::vector<net::Endpoint> engines;
  std::vector<net::Endpoint> services;
  for (const auto& node : nodes_) {
    if (node->IsEngineSide()) {
      engines.push_back(node->upstream);
    } else if (node->isService) {
      services.push_back(node->upstream);
    }
  }
  for (std::size_t at = 0; at < engines.size();
       at += options_.enginesPerProcess) {
    auto end = std::min(engines.size(), at + options_.enginesPerProcess);
    std::vector<net::Endpoint> batch(
      engines.begin() + static_cast<std::ptrdiff_t>(at),
      engines.begin() + static_cast<std::ptrdiff_t>(end));
    if (!StartFake("engine", batch, options_.engineFaults, aReason)) {
      return false;
    }
  }
  if (!services.empty() &&
      !StartFake(
        "service", services, options_.upstreamServiceFaults, aReason)) {
    return false;
  }
  engines.insert(engines.end(), services.begin(), services.end());
  bool answering = std::ranges::all_of(
    engines, [this](const auto& aEndpoint) { return WaitForFake(aEndpoint); });
  if (!answering) {
    aReason.Set(utils::ErrorKind::Internal,
                "an upstream does not answer, see " + folder_);
  }
  return answering;
}

void
Bed::WriteSettings(const BedNode& aNode) const
{
  const auto& vm = aNode.vm;
  auto weights = [&](Service aService, std::uint16_t aPort) {
    return aNode.IsEngineSide() ? net::Endpoint{ vm.address(), aPort }
                                : GetEndpoint(aService);
  };
  std::ofstream file(aNode.settingsFile);
  file << "[node]\nvm = " << QuoteToml(vm.id())
       << "\nrole = " << QuoteToml(vm.role())
       << "\ndata_centre = " << QuoteToml(vm.data_centre())
       << "\nregion = " << QuoteToml(vm.region())
       << "\naddress = " << QuoteToml(vm.address())
       << "\ncontrol_port = " << kControlPort
       << "\nsecret = " << QuoteToml(kSecret) << "\n\n[platform]\nlog = "
       << QuoteToml(GetLinkEndpoint(aNode, Link::Log).ToString())
       << "\nvm_list = " << QuoteToml(GetEndpoint(Service::VmList).ToString())
       << "\nstore = "
       << QuoteToml(weights(Service::Store, kStorePort).ToString())
       << "\norigin = "
       << QuoteToml(weights(Service::Origin, kOriginPort).ToString()) << "\n\n";
  if (aNode.IsEntry()) {
    file << "[entry]\ncaller_port = " << kCallerPort << "\n"
         << options_.entryLines << "\n";
  } else {
    file << "[side]\nupstream = "
         << QuoteToml(GetLinkEndpoint(aNode, Link::Upstream).ToString())
         << "\nkind = " << QuoteToml(aNode.isService ? "service" : "engine")
         << "\n"
         << options_.sideLines << "\n";
  }
  file << options_.settings
       << "\n[log]\nlevel = " << QuoteToml(options_.logLevel)
       << "\nfile = " << QuoteToml(aNode.logFile) << "\n";
  if (options_.spans) {
    file << "spans = " << QuoteToml(folder_ + "/" + vm.id() + ".spans") << "\n";
  }
}

bool
Bed::StartNode(BedNode& aNode, utils::Error& aReason)
{
  WriteSettings(aNode);
  aNode.process = Process::Start(
    { GetProgramPath("waxwingyoked"), "--settings", aNode.settingsFile },
    folder_ + "/" + aNode.vm.id() + ".out",
    aReason);
  return aNode.process != nullptr;
}

bool
Bed::StartDaemons(utils::Error& aReason)
{
  bool started = std::ranges::all_of(
    nodes_, [&](auto& aNode) { return StartNode(*aNode, aReason); });
  if (!started) {
    return false;
  }
  auto unhealthy = std::ranges::find_if(nodes_, [this](auto& aNode) {
    return !WaitHealthy(*aNode, kStartTimeout);
  });
  if (unhealthy != nodes_.end()) {
    aReason.Set(utils::ErrorKind::Internal,
                (*unhealthy)->vm.id() + " does not answer, see " + folder_);
  }
  return unhealthy == nodes_.end();
}

void
RunWithBed(const BedOptions& aOptions, const std::function<void(Bed&)>& aTest)
{
  std::exception_ptr thrown;
  net::Runtime runtime(1);
  runtime.Run([&] {
    try {
      utils::Error reason;
      auto bed = Bed::Make(aOptions, reason);
      if (!bed) {
        throw std::runtime_error("the test bed did not start: " +
                                 reason.detail);
      }
      aTest(*bed);
    } catch (...) {
      // Rethrown below in the caller's thread, after the bed has ended.
      thrown = std::current_exception();
    }
    return 0;
  });
  if (thrown) {
    std::rethrow_exception(thrown);
  }
}

} // namespace waxwingyoke::bed
