#include <membership/ClusterStatus.h>

#include <algorithm>
#include <atomic>
#include <memory>

#include <boost/fiber/fiber.hpp>
#include <net/Runtime.h>

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// Healthy nodes answer at once, so that 940 of them take only a few rounds.
constexpr std::size_t kMaxParallelCalls = 64;
constexpr net::CallTimeouts kTimeouts{ Millis(1000),
                                       Millis(2000),
                                       Millis(2000) };
constexpr Millis kPollInterval(250);

} // namespace

StatusReader::StatusReader(platform::LogClient& aLog,
                           platform::VmListClient& aVmList,
                           rpc::RpcClient& aRpc)
  : log_(aLog)
  , vmList_(aVmList)
  , rpc_(aRpc)
{
}

std::optional<ClusterStatus>
StatusReader::Read(utils::Error& aReason)
{
  ClusterStatus status;
  ReadLog(status.log);
  auto list = vmList_.Read(aReason);
  if (!list) {
    return std::nullopt;
  }
  std::ranges::for_each(list->vms(), [&status](const schema::Vm& aVm) {
    status.nodes.push_back({ aVm, std::nullopt, "" });
  });
  QueryNodes(status.nodes);
  return status;
}

void
StatusReader::ReadLog(LogReport& aReport)
{
  utils::Error reason;
  auto page =
    log_.ReadRetained(platform::kConfigStream, 0, 1, Millis(0), reason);
  aReport.available = page.has_value();
  aReport.failure = reason.detail;
  if (page) {
    aReport.firstOffset = page->first_offset();
    aReport.nextOffset = page->next_offset();
  }
}

void
StatusReader::QueryNodes(std::vector<NodeReport>& aNodes)
{
  std::size_t next = 0;
  std::vector<boost::fibers::fiber> workers;
  for (std::size_t i = 0; i < std::min(kMaxParallelCalls, aNodes.size()); ++i) {
    workers.emplace_back([this, &next, &aNodes] {
      while (next < aNodes.size()) {
        QueryNode(aNodes[next++]);
      }
    });
  }
  std::ranges::for_each(workers, [](auto& aWorker) { aWorker.join(); });
}

void
StatusReader::QueryNode(NodeReport& aNode)
{
  net::Endpoint endpoint{ aNode.vm.address(),
                          static_cast<std::uint16_t>(aNode.vm.control_port()) };
  schema::StatusReply reply;
  utils::Error reason;
  bool answered = rpc_.Call(
    endpoint, "status.get", schema::StatusRequest(), reply, kTimeouts, reason);
  if (answered) {
    aNode.reply = reply;
  } else {
    aNode.failure = reason.detail;
  }
}

std::optional<ClusterStatus>
StatusReader::WaitInForce(std::optional<std::uint64_t> aOffset,
                          Millis aWait,
                          utils::Error& aReason)
{
  utils::Clock clock;
  auto deadline = clock.Now() + aWait;
  // The target is fixed by the first read: later changes are not waited for.
  std::optional<std::uint64_t> target = aOffset;
  for (;;) {
    auto status = Read(aReason);
    if (status && !target) {
      target = status->GetTargetOffset();
    }
    bool isDone = status && FindLaggingNodes(*status, *target).empty();
    if (isDone || clock.Now() >= deadline) {
      return status;
    }
    net::Runtime::Sleep(kPollInterval);
  }
}

} // namespace waxwingyoke::membership
