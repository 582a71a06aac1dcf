#include <membership/ClusterStatus.h>

#include <algorithm>
#include <atomic>
#include <memory>

#include <boost/fiber/fiber.hpp>
#include <net/Runtime.h>

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// A node that is well answers at once; 940 are asked in some rounds.
constexpr std::size_t kAskers = 64;
constexpr net::CallTimeouts kTimeouts{ Millis(1000),
                                       Millis(2000),
                                       Millis(2000) };
constexpr Millis kReadPause(250);

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
  AskNodes(status.nodes);
  return status;
}

void
StatusReader::ReadLog(LogAccount& aAccount)
{
  utils::Error reason;
  auto page = log_.ReadKept(platform::kConfigStream, 0, 1, Millis(0), reason);
  aAccount.available = page.has_value();
  aAccount.failure = reason.detail;
  if (page) {
    aAccount.firstOffset = page->first_offset();
    aAccount.nextOffset = page->next_offset();
  }
}

void
StatusReader::AskNodes(std::vector<NodeAccount>& aNodes)
{
  std::size_t next = 0;
  std::vector<boost::fibers::fiber> askers;
  for (std::size_t i = 0; i < std::min(kAskers, aNodes.size()); ++i) {
    askers.emplace_back([this, &next, &aNodes] {
      while (next < aNodes.size()) {
        Ask(aNodes[next++]);
      }
    });
  }
  std::ranges::for_each(askers, [](auto& aAsker) { aAsker.join(); });
}

void
StatusReader::Ask(NodeAccount& aNode)
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
  // What the log held at first: later changes are not waited for.
  std::optional<std::uint64_t> wanted = aOffset;
  for (;;) {
    auto status = Read(aReason);
    if (status && !wanted) {
      wanted = status->GetWantedOffset();
    }
    bool isDone = status && FindLaggards(*status, *wanted).empty();
    if (isDone || clock.Now() >= deadline) {
      return status;
    }
    net::Runtime::Sleep(kReadPause);
  }
}

} // namespace waxwingyoke::membership
