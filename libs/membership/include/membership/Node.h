#ifndef waxwingyoke_membership_Node_h
#define waxwingyoke_membership_Node_h

#include <functional>
#include <memory>
#include <string>

#include <membership/View.h>
#include <net/Runtime.h>
#include <platform/LogClient.h>
#include <platform/VmListClient.h>
#include <rpc/RpcClient.h>
#include <rpc/RpcServer.h>
#include <schema/settings.pb.h>

namespace waxwingyoke::membership {

/**
 * Keeps this process's view of the configuration and of all other processes
 * current. It follows the config stream and the VM list, directly from the
 * platform if it is a relay of its data centre, otherwise from its parent in
 * the tree, and propagates the status that processes report. The daemon owns
 * one instance in each process.
 *
 *     Node node(runtime, settings, incarnation, log, vmList, rpcClient);
 *     node.AddMethods(rpcServer);
 *     node.OnView([](const View& aView) { ... });
 *     node.Start();
 */
class Node
{
public:
  using ViewHook = std::function<void(const std::shared_ptr<const View>&)>;
  using StatusHook = std::function<void(schema::NodeStatus&)>;

  Node(net::Runtime& aRuntime,
       const schema::DaemonSettings& aSettings,
       std::string aIncarnation,
       platform::LogClient& aLog,
       platform::VmListClient& aVmList,
       rpc::RpcClient& aRpc);
  ~Node();

  /** Adds control.sync, control.push and status.get to the control port. */
  void AddMethods(rpc::RpcServer& aServer);

  /** Adds a hook that runs in a fiber after each change of the view. Call
   * before Start only. */
  void OnView(ViewHook aHook);

  /** Starts the fibers. */
  void Start();

  /** The current view. Takes no lock; safe from every thread. */
  std::shared_ptr<const View> GetView() const;

  /**
   * Changes this process's status. Changes that other nodes need are
   * propagated through the tree; load and progress are only stored here.
   */
  void UpdateStatus(const StatusHook& aHook);

  /** Id of this run of the process: new at each start, so that a status is
   * never attributed to an earlier run. */
  const std::string& GetIncarnation() const;

  /** This VM's own settings. */
  const schema::NodeSettings& GetSettings() const;

  /**
   * Waits up to aWait until the configuration in force reaches aNextOffset;
   * returns whether it does. If it is behind, starts a resync from another
   * node or the log at once.
   */
  bool CatchUp(std::uint64_t aNextOffset, utils::Millis aWait);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_Node_h
