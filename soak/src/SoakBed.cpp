#include "SoakBed.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>

#include <unistd.h>

#include <Deployment.h>
#include <net/Runtime.h>
#include <schema/Json.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

constexpr std::uint16_t kCallerPort = 8005;
constexpr std::uint16_t kReadinessPort = 8002;
constexpr std::uint16_t kUpstreamPort = 8001;
constexpr std::uint16_t kLogPort = 8007;
constexpr std::uint16_t kOriginPort = 8006;
constexpr std::uint16_t kProxyControlPort = 8100;
// The proxy listens on the port of each target plus this step.
constexpr std::uint16_t kProxyPortStep = 100;
constexpr unsigned kOriginHost = 8;
constexpr unsigned kLogHost = 9;
constexpr unsigned kProxyHost = 10;
constexpr unsigned kFirstEntryHost = 11;
constexpr unsigned kFirstSideHost = 41;
constexpr unsigned kFirstPlainHost = 141;
constexpr Millis kProxyStartTimeout(5000);
constexpr Millis kPollInterval(50);

net::Endpoint
GetProxyEndpoint(net::Endpoint aTarget)
{
  aTarget.port = static_cast<std::uint16_t>(aTarget.port + kProxyPortStep);
  return aTarget;
}

} // namespace

SoakBed::SoakBed(const BedOptions& aOptions, utils::Error& aReason)
  : options(aOptions)
  , block_(bed::AddressBlock::Acquire(aReason))
  , folder_(std::filesystem::temp_directory_path() /
            ("soak-" + std::to_string(aOptions.seed) + "-" +
             std::to_string(::getpid())))
{
}

SoakBed::~SoakBed()
{
  entries.clear();
  sides.clear();
  proxy_.reset();
}

std::unique_ptr<SoakBed>
SoakBed::Make(net::Runtime& aRuntime,
              const BedOptions& aOptions,
              utils::Error& aReason)
{
  std::unique_ptr<SoakBed> bed(new SoakBed(aOptions, aReason));
  if (!bed->block_) {
    return nullptr;
  }
  std::filesystem::create_directories(bed->folder_);
  bool started =
    bed->log.Start(aRuntime, bed->MakeEndpoint(kLogHost, kLogPort)) &&
    bed->origin.Start(aRuntime, bed->MakeEndpoint(kOriginHost, kOriginPort)) &&
    bed->StartUpstreams(aRuntime);
  if (!started) {
    aReason.Set(utils::ErrorKind::Internal,
                "a fake of the platform can't listen on its address in " +
                  bed->MakeEndpoint(0, 0).address);
    return nullptr;
  }
  return bed->StartProxy(aReason) && bed->StartDaemons(aReason) ? std::move(bed)
                                                                : nullptr;
}

net::Endpoint
SoakBed::MakeEndpoint(unsigned aHost, std::uint16_t aPort) const
{
  return { block_->GetAddress(1, aHost), aPort };
}

void
SoakBed::AddLink(const net::Endpoint& aTarget)
{
  auto listen = GetProxyEndpoint(aTarget).ToString();
  links_.push_back(listen);
  linkArguments_.insert(linkArguments_.end(),
                        { "--link", listen + "=" + aTarget.ToString() });
}

bool
SoakBed::StartUpstreams(net::Runtime& aRuntime)
{
  AddLink(MakeEndpoint(kLogHost, kLogPort));
  AddLink(MakeEndpoint(kOriginHost, kOriginPort));
  auto start = [&](unsigned aHost, const std::string& aId, bool aIsEngine) {
    auto& upstream =
      upstreams.emplace_back(std::make_unique<adapter::FakeUpstream>(
        aId, aIsEngine ? "engines" : "plain", aIsEngine ? "m" : ""));
    auto endpoint = MakeEndpoint(aHost, kUpstreamPort);
    bool done = upstream->Start(aRuntime, endpoint);
    upstream->SetAdvertised(GetProxyEndpoint(endpoint));
    AddLink(endpoint);
    return done;
  };
  bool started = true;
  for (unsigned i = 0; i < options.sides; ++i) {
    started =
      start(kFirstSideHost + i, "e" + std::to_string(i), true) && started;
  }
  for (unsigned i = 0; i < options.plain; ++i) {
    started =
      start(kFirstPlainHost + i, "p" + std::to_string(i), false) && started;
  }
  registeredRecords_.resize(upstreams.size());
  draining_.resize(upstreams.size());
  return started;
}

bool
SoakBed::StartProxy(utils::Error& aReason)
{
  std::vector<std::string> arguments{
    bed::GetProgramPath("waxwingyoke-fakes"),
    "proxy",
    "--seed",
    std::to_string(options.seed),
    "--control",
    MakeEndpoint(kProxyHost, kProxyControlPort).ToString()
  };
  std::ranges::copy(linkArguments_, std::back_inserter(arguments));
  proxy_ =
    bed::Process::Start(arguments, (folder_ / "proxy.log").string(), aReason);
  utils::Clock clock;
  auto until = clock.Now() + kProxyStartTimeout;
  while (proxy_ && clock.Now() < until) {
    if (SetLink({})) {
      return true;
    }
    net::Runtime::Sleep(kPollInterval);
  }
  aReason.Set(utils::ErrorKind::Internal, "the proxy does not answer");
  return false;
}

bool
SoakBed::SetLink(const fakes::LinkFaults& aFaults)
{
  constexpr int kOk = 200;
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/links";
  request.body = schema::ToJson(aFaults);
  utils::Error ignored;
  auto answer = client_.Call(
    MakeEndpoint(kProxyHost, kProxyControlPort), request, {}, ignored);
  return answer && answer->status == kOk;
}

bool
SoakBed::StartDaemons(utils::Error& aReason)
{
  RegisterChanged();
  for (unsigned i = 0; i < options.entries; ++i) {
    entries.push_back({ "fleet-entry", kFirstEntryHost + i, "", nullptr });
  }
  for (unsigned i = 0; i < options.sides; ++i) {
    sides.push_back({ "fleet-side", kFirstSideHost + i, "", nullptr });
  }
  bool started = true;
  for (auto* group : { &entries, &sides }) {
    for (auto& daemon : *group) {
      started = StartDaemon(daemon, aReason) && started;
    }
  }
  return started;
}

bool
SoakBed::StartDaemon(Daemon& aDaemon, utils::Error& aReason)
{
  auto vm = aDaemon.role + std::to_string(aDaemon.host);
  auto file = folder_ / (vm + ".json");
  std::ofstream(file) << adapter::MakeDaemonSettings(
    { vm,
      MakeEndpoint(aDaemon.host, 0).address,
      MakeEndpoint(aDaemon.host, kCallerPort),
      MakeEndpoint(aDaemon.host, kReadinessPort),
      GetProxyEndpoint(MakeEndpoint(aDaemon.host, kUpstreamPort)),
      GetProxyEndpoint(MakeEndpoint(kLogHost, kLogPort)) });
  setenv("WAXWINGYOKE_BOOT", file.c_str(), 1);
  aDaemon.settings = file.string();
  aDaemon.process =
    bed::Process::Start({ bed::GetProgramPath("waxwingyoked"), aDaemon.role },
                        file.string() + ".log",
                        aReason);
  return aDaemon.process != nullptr;
}

net::Endpoint
SoakBed::GetCallerEndpoint(const Daemon& aEntry) const
{
  return MakeEndpoint(aEntry.host, kCallerPort);
}

void
SoakBed::Publish()
{
  ++configVersion_;
  AppendConfig();
}

void
SoakBed::AppendConfig()
{
  std::string keys;
  for (const auto& key : activeKeys) {
    keys += (keys.empty() ? "\"" : ",\"") + key + "\"";
  }
  adapter::PublishConfig(
    log,
    configVersion_,
    R"({"Name":"org","ApiKeys":[)" + keys + "]}",
    GetProxyEndpoint(MakeEndpoint(kOriginHost, kOriginPort)));
}

void
SoakBed::NameVersion()
{
  adapter::NameVersion(log, ++namedVersion_);
}

void
SoakBed::WriteAgain()
{
  AppendConfig();
  adapter::NameVersion(log, namedVersion_);
  std::ranges::fill(registeredRecords_, "");
  RegisterChanged();
}

void
SoakBed::RegisterChanged()
{
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const auto* state = draining_[i] ? "draining" : "ready";
    auto entry = upstreams[i]->MakeDirectoryRecord(state);
    if (entry != registeredRecords_[i]) {
      registeredRecords_[i] = entry;
      adapter::RegisterUpstream(log, *upstreams[i], state);
    }
  }
}

void
SoakBed::SetDraining(std::size_t aUpstream, bool aDraining)
{
  if (draining_[aUpstream] && !aDraining) {
    upstreams[aUpstream]->StartAnew();
  }
  draining_[aUpstream] = aDraining;
  RegisterChanged();
}

int
SoakBed::CountRuns(const std::string& aId) const
{
  int runs = 0;
  for (const auto& upstream : upstreams) {
    auto row = upstream->GetRuns().find(aId);
    runs += row == upstream->GetRuns().end() ? 0 : row->second;
  }
  return runs;
}

} // namespace waxwingyoke::soak
