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

/** What one listed VM's process answered, or why it did not. */
struct NodeAccount
{
  schema::Vm vm;
  std::optional<schema::StatusReply> reply;
  std::string failure;
};

/** The log service as the tool found it. */
struct LogAccount
{
  bool available = false;
  std::uint64_t firstOffset = 0;
  std::uint64_t nextOffset = 0;
  std::string failure;
};

/** Every process's own account at one time, asked one by one. */
struct ClusterStatus
{
  LogAccount log;
  std::vector<NodeAccount> nodes;

  /**
   * The offset that ought to be in force: the log's end, or where the log
   * does not answer the furthest that any node has.
   */
  std::uint64_t GetWantedOffset() const;
};

/** A node where something is not in force, and why. */
struct Laggard
{
  std::string vm;
  std::string dataCentre;
  std::string reason;
};

/** Nodes not at aOffset, leaving ones aside. */
std::vector<Laggard>
FindLaggards(const ClusterStatus& aStatus, std::uint64_t aOffset);

/** For operators: by data centre, laggards by name, the log, appends. */
std::string
Show(const ClusterStatus& aStatus, std::uint64_t aOffset);

/** Asks the log, the VM list and every VM on it. */
class StatusReader
{
public:
  StatusReader(platform::LogClient& aLog,
               platform::VmListClient& aVmList,
               rpc::RpcClient& aRpc);

  /** Empty where the VM list can't be read. To be called in a fiber. */
  std::optional<ClusterStatus> Read(utils::Error& aReason);

  /**
   * Reads again and again until aOffset is in force on every node, or with
   * no offset the log's end, or until aWait is over; the last one read.
   */
  std::optional<ClusterStatus> WaitInForce(std::optional<std::uint64_t> aOffset,
                                           utils::Millis aWait,
                                           utils::Error& aReason);

private:
  void ReadLog(LogAccount& aAccount);
  void AskNodes(std::vector<NodeAccount>& aNodes);
  void Ask(NodeAccount& aNode);

  platform::LogClient& log_;
  platform::VmListClient& vmList_;
  rpc::RpcClient& rpc_;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_ClusterStatus_h
