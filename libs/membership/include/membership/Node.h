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
 * This process's part in keeping every node informed: it follows the config
 * stream and the VM list, either from the platform (a relay of its data
 * centre) or from its relays, and spreads what the processes say of
 * themselves. Owned by the daemon, one a process.
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

  /** Adds control.sync and status methods to the control port. */
  void AddMethods(rpc::RpcServer& aServer);

  /** Called in a fiber after each change of the view; before Start only. */
  void OnView(ViewHook aHook);

  /** Starts the fibers. */
  void Start();

  /** The newest view; takes no lock on the way. Safe from every thread. */
  std::shared_ptr<const View> GetView() const;

  /** Changes what this process says of itself and spreads it soon. */
  void UpdateStatus(const StatusHook& aHook);

  /** This process's id: new at each start, so that none speaks for an
   * earlier one. */
  const std::string& GetIncarnation() const;

  /** This VM's own row of settings. */
  const schema::NodeSettings& GetSettings() const;

  /**
   * Whether the config in force reaches this offset; asks the relay at once
   * and waits up to aWait if it does not.
   */
  bool CatchUp(std::uint64_t aNextOffset, utils::Millis aWait);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_Node_h
