#include "Probe.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace waxwingyoke::bench {

namespace {

constexpr double kKbPerMb = 1024;
constexpr double kMillisPerSecond = 1000;
constexpr double kPercent = 100;

double
ReadCpuSeconds(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  // Counts the fields after the program's name, which may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kBeforeUserTime = 11;
  std::string skipped;
  for (int i = 0; i < kBeforeUserTime; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double
ReadRssMb(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stod(line.substr(sizeof("VmRSS:") - 1)) / kKbPerMb;
    }
  }
  return 0;
}

std::uint64_t
FindMetric(const std::string& aMetrics, const std::string& aName)
{
  std::istringstream lines(aMetrics);
  for (std::string line; std::getline(lines, line);) {
    auto at = line.find(aName + " ");
    if (!line.starts_with('#') && at != std::string::npos) {
      return static_cast<std::uint64_t>(
        std::stod(line.substr(at + aName.size())));
    }
  }
  return 0;
}

void
ReadCounters(bed::Bed& aBed, const bed::BedNode& aNode, Usage& aUsage)
{
  net::HttpRequest request;
  request.target = "/metrics";
  utils::Error ignored;
  auto answer = aBed.GetClient().Call(aNode.control, request, {}, ignored);
  if (!answer) {
    return;
  }
  auto find = [&](const char* aName) {
    return FindMetric(answer->body, aName);
  };
  aUsage.netBytes =
    find("net_sent_bytes_total") + find("net_received_bytes_total");
  aUsage.rowsSent = find("directory_rows_sent_total");
  aUsage.rowsPushed = find("directory_rows_pushed_total");
}

} // namespace

Sample
TakeSample(bed::Bed& aBed)
{
  Sample sample;
  sample.timeMs = utils::Clock().Now().value;
  std::ranges::for_each(aBed.GetNodes(), [&](const auto& aNode) {
    if (aNode->process) {
      auto id = aNode->process->GetId();
      auto& usage = sample.nodes[aNode->vm.id()];
      usage.cpuSeconds = ReadCpuSeconds(id);
      usage.rssMb = ReadRssMb(id);
      ReadCounters(aBed, *aNode, usage);
    }
  });
  if (auto counters = aBed.GetCounters(bed::Service::Log)) {
    sample.logReads = counters->reads();
    sample.logAppends = counters->appends();
  }
  return sample;
}

Rates
Compare(const Sample& aFrom, const Sample& aTo)
{
  Rates rates;
  double seconds =
    static_cast<double>(aTo.timeMs - aFrom.timeMs) / kMillisPerSecond;
  for (const auto& [vm, from] : aFrom.nodes) {
    auto found = aTo.nodes.find(vm);
    if (found == aTo.nodes.end()) {
      continue;
    }
    const auto& to = found->second;
    auto cpu = kPercent * (to.cpuSeconds - from.cpuSeconds) / seconds;
    auto bytes = static_cast<double>(to.netBytes - from.netBytes) / seconds;
    rates.cpuPercentMean += cpu / static_cast<double>(aFrom.nodes.size());
    rates.cpuPercentMax = std::max(rates.cpuPercentMax, cpu);
    rates.bytesMean += bytes / static_cast<double>(aFrom.nodes.size());
    if (bytes > rates.bytesMax) {
      rates.bytesMax = bytes;
      rates.busiest = vm;
      rates.busiestRowsSent = to.rowsSent - from.rowsSent;
      rates.busiestRowsPushed = to.rowsPushed - from.rowsPushed;
    }
    rates.rssMbMax = std::max(rates.rssMbMax, to.rssMb);
  }
  rates.logReads = static_cast<double>(aTo.logReads - aFrom.logReads) / seconds;
  rates.logAppends =
    static_cast<double>(aTo.logAppends - aFrom.logAppends) / seconds;
  return rates;
}

} // namespace waxwingyoke::bench
