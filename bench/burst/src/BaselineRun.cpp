#include "BaselineRun.h"

#include <algorithm>
#include <memory>
#include <vector>

#include <bed/Bed.h>
#include <net/Runtime.h>

#include "LinkBytes.h"

namespace waxwingyoke::burst {

namespace {

using utils::Millis;

constexpr std::uint16_t kAgentPort = 7300;
constexpr Millis kPollInterval(30);
constexpr std::int64_t kMaxRatio = 40;

struct AgentProcess
{
  net::Endpoint endpoint;
  std::unique_ptr<bed::Process> process;
};

bool
IsComplete(bed::Bed& aBed, const AgentProcess& aAgent)
{
  constexpr int kOk = 200;
  net::HttpRequest request;
  request.target = "/whole";
  utils::Error ignored;
  auto response = aBed.GetClient().Call(aAgent.endpoint, request, {}, ignored);
  return response && response->status == kOk;
}

std::string
MakeVersion(bed::Bed& aBed, const Options& aOptions)
{
  fakes::VersionSpec spec;
  spec.set_model("bench-model");
  spec.set_bytes(aOptions.bytes);
  spec.set_chunk_bytes(aOptions.chunkBytes);
  spec.set_seed(aOptions.seed);
  utils::Error reason;
  auto made = aBed.MakeVersion(spec, reason);
  return made ? made->version() : "";
}

std::vector<AgentProcess>
StartAgents(bed::Bed& aBed,
            const Options& aOptions,
            const std::string& aWay,
            const std::string& aVersion)
{
  std::vector<AgentProcess> agents;
  for (auto* side : aBed.GetEngineSides()) {
    AgentProcess agent;
    agent.endpoint = { side->vm.address(), kAgentPort };
    auto source = aWay == "origin" || agents.empty()
                    ? aBed.GetEndpoint(bed::Service::Origin)
                    : agents.back().endpoint;
    utils::Error reason;
    agent.process =
      bed::Process::Start({ bed::GetProgramPath("waxwingyoke-bench-burst"),
                            "agent",
                            "--listen",
                            agent.endpoint.ToString(),
                            "--source",
                            source.ToString(),
                            "--version",
                            aVersion,
                            "--link",
                            std::to_string(aOptions.linkBytesPerSecond) },
                          aBed.GetFolder() + "/" + side->vm.id() + ".agent",
                          reason);
    agents.push_back(std::move(agent));
  }
  return agents;
}

WayResult
Measure(bed::Bed& aBed, const Options& aOptions, const std::string& aWay)
{
  WayResult result;
  result.way = aWay;
  auto version = MakeVersion(aBed, aOptions);
  utils::Clock clock;
  auto begin = clock.Now();
  auto agents = StartAgents(aBed, aOptions, aWay, version);
  auto remaining = agents.size();
  std::vector<bool> complete(agents.size());
  while (remaining > 0 &&
         clock.Now() - begin < aOptions.GetTimeBound() * kMaxRatio) {
    for (std::size_t i = 0; i < agents.size(); ++i) {
      complete[i] = complete[i] || IsComplete(aBed, agents[i]);
    }
    remaining = static_cast<std::size_t>(std::ranges::count(complete, false));
    net::Runtime::Sleep(remaining > 0 ? kPollInterval : Millis(0));
  }
  result.failed = remaining;
  result.timeToAllMs = remaining > 0 ? -1 : (clock.Now() - begin).value;
  auto copyBytes = static_cast<double>(aOptions.bytes);
  auto counters = aBed.GetCounters(bed::Service::Origin);
  if (counters) {
    result.originCopies =
      static_cast<double>(counters->bytes_served()) / copyBytes;
  }
  for (const auto& agent : agents) {
    auto bytes = ReadLinkBytes(aBed.GetClient(), agent.endpoint);
    result.maxLinkCopies =
      std::max(result.maxLinkCopies,
               static_cast<double>(bytes.up + bytes.down) / copyBytes);
  }
  return result;
}

} // namespace

WayResult
RunBaseline(const Options& aOptions, const std::string& aWay)
{
  bed::BedOptions options;
  options.sites = { { "dc1", "region1", 0, aOptions.vms, 0 } };
  options.seed = aOptions.seed;
  options.startDaemons = false;
  fakes::Faults source;
  source.mutable_store()->set_bytes_per_s(aOptions.GetOriginRate());
  options.serviceFaults[bed::Service::Origin] = source;
  WayResult result;
  bed::RunWithBed(
    options, [&](bed::Bed& aBed) { result = Measure(aBed, aOptions, aWay); });
  return result;
}

} // namespace waxwingyoke::burst
