#ifndef waxwingyoke_membership_ClusterStatus_h
#define waxwingyoke_membership_ClusterStatus_h

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <platform/LogClient.h>
#include <platform/VmListClient.h>
#include <rpc/RpcClient.h>
#include <schema/control.pb.h>

namespace waxwingyoke::membership {

/** Status reply of one listed VM's process, or why the call failed. */
struct NodeReport
{
  schema::Vm vm;
  std::optional<schema::StatusReply> reply;
  std::string failure;
};

/** State of the config stream in the log, read once. */
struct LogReport
{
  bool available = false;
  std::uint64_t firstOffset = 0;
  std::uint64_t nextOffset = 0;
  std::string failure;
};

/** The log's state and the status of every listed VM's process. */
struct ClusterStatus
{
  LogReport log;
  std::vector<NodeReport> nodes;

  /**
   * The offset that every node should have in force: the log's end, or, while
   * the log is unavailable, the highest offset that any node reports.
   */
  std::uint64_t GetTargetOffset() const;
};

/** A node whose configuration is behind an offset, and why. */
struct LaggingNode
{
  std::string vm;
  std::string dataCentre;
  std::string reason;
};

/** Nodes that are behind aOffset or do not answer, except leaving VMs. */
std::vector<LaggingNode>
FindLaggingNodes(const ClusterStatus& aStatus, std::uint64_t aOffset);

/**
 * Formats the status for operators: the log's state, a line for each data
 * centre, the nodes that are behind aOffset, and append counts by use.
 */
std::string
Show(const ClusterStatus& aStatus, std::uint64_t aOffset);

/**
 * Reads the state of the log, the VM list and, in parallel, the status of every
 * listed VM. Its methods block the calling fiber.
 */
class StatusReader
{
public:
  StatusReader(platform::LogClient& aLog,
               platform::VmListClient& aVmList,
               rpc::RpcClient& aRpc);

  /** Reads everything once. Empty where the VM list can't be read. */
  std::optional<ClusterStatus> Read(utils::Error& aReason);

  /**
   * Reads repeatedly until aOffset is in force on every node, or until aWait
   * has passed; returns the last status read. Without an offset, it uses the
   * target offset of the first status that could be read.
   */
  std::optional<ClusterStatus> WaitInForce(std::optional<std::uint64_t> aOffset,
                                           utils::Millis aWait,
                                           utils::Error& aReason);

private:
  void ReadLog(LogReport& aReport);
  void QueryNodes(std::vector<NodeReport>& aNodes);
  void QueryNode(NodeReport& aNode);

  platform::LogClient& log_;
  platform::VmListClient& vmList_;
  rpc::RpcClient& rpc_;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_ClusterStatus_h
