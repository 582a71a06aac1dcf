#ifndef waxwingyoke_membership_NodeImpl_h
#define waxwingyoke_membership_NodeImpl_h

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <membership/Node.h>
#include <telemetry/Logger.h>
#include <utils/RcuCell.h>

#include "ConfigStore.h"
#include "Directory.h"
#include "ResyncRotation.h"
#include "Tree.h"

namespace waxwingyoke::membership {

/** Directory synchronisation state with one neighbour's process. */
struct Neighbour
{
  /** Id of the neighbour's directory; differs for each incarnation. */
  std::string directoryId;
  /** Version of its directory that was received. */
  std::uint64_t received = 0;
  /** Version of our directory that it acknowledged. */
  std::uint64_t acknowledged = 0;
};

/**
 * Backoff for a VM that did not answer: it is skipped until `until`, and the
 * span doubles with each failure.
 */
struct Suspicion
{
  utils::Millis until;
  utils::Millis span;
};

/** Which parts a sync requests: config records, directory rows or both. */
enum class SyncPart
{
  All,
  Records,
  Rows
};

/**
 * State and fibers of one node. The methods are grouped by file: LogReader,
 * ParentLink, SyncMethods, VmListReader, Resync and SnapshotWriter.
 */
struct Node::Impl
{
  Impl(net::Runtime& aRuntime,
       const schema::DaemonSettings& aSettings,
       std::string aIncarnation,
       platform::LogClient& aLog,
       platform::VmListClient& aVmList,
       rpc::RpcClient& aRpc);

  using Lock = std::unique_lock<boost::fibers::mutex>;

  // Node.cpp
  void RunViews();
  void Publish();
  schema::DirectoryRow MakeOwnRow() const;
  TreePosition GetTreePosition();
  bool IsSuspect(const std::string& aVm, utils::Millis aNow) const;
  void MarkSuspect(const std::string& aVm);
  void ClearSuspect(const std::string& aVm);
  /** A random time between half of aSpan and aSpan. */
  utils::Millis Jitter(utils::Millis aSpan);
  void WaitForChange(Lock& aLock, utils::Millis aTime);
  net::Endpoint FindEndpoint(const std::string& aVm) const;

  // LogReader.cpp
  void RunLogReader();
  bool ReadLog(utils::Millis aWait);

  // ParentLink.cpp
  void RunParentLink();
  void RunPushes();
  bool Sync(const std::string& aVm, utils::Millis aWait, SyncPart aPart);
  void ApplyReply(const std::string& aVm, const schema::SyncReply& aReply);
  bool Push(const std::string& aVm);
  void UpdateDirectoryId(const std::string& aVm, const std::string& aId);

  // SyncMethods.cpp
  void AddMethods(rpc::RpcServer& aServer);
  void AnswerSync(const schema::SyncRequest& aRequest,
                  schema::SyncReply& aReply);
  void AnswerPush(const schema::PushRequest& aRequest,
                  schema::PushReply& aReply);
  void AnswerStatus(schema::StatusReply& aReply);
  bool FillSync(const schema::SyncRequest& aRequest, schema::SyncReply& aReply);
  void WaitForUpdate(const schema::SyncRequest& aRequest, Lock& aLock);

  // VmListReader.cpp
  void RunVmListReader();
  bool ReadVmList(bool aIsInitial);

  // Resync.cpp
  void RunResync();
  void TryResync();
  void PullFrom(const std::string& aVm);
  std::string PickRandomPeer();

  // SnapshotWriter.cpp
  void RunSnapshotWriter();
  void WriteSnapshot();

  net::Runtime& runtime;
  const schema::DaemonSettings settings;
  const std::string self;
  const std::string incarnation;
  /** Id of this process's directory: a prefix of the incarnation. */
  const std::string directoryId;
  platform::LogClient& log;
  platform::VmListClient& vmList;
  rpc::RpcClient& rpc;
  telemetry::Logger logger{ "membership" };
  utils::Clock clock;

  mutable boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  // The members from here to isDirty are guarded by the mutex.
  ConfigStore store;
  Directory directory;
  schema::NodeStatus status;
  std::map<std::string, Neighbour> neighbours;
  std::map<std::string, Suspicion> suspects;
  std::mt19937_64 random;
  ResyncRotation resyncRotation;
  bool isDirty = true;

  // Used by the VM list reader.
  std::string listTag;
  std::int64_t listBytes = 0;

  /** Whether a resync read is in progress; at most one runs at a time. */
  std::atomic<bool> pulling{ false };
  /** Whether the last read of the log succeeded. */
  std::atomic<bool> readsLog{ false };
  utils::RcuCell<View> view;
  std::vector<ViewHook> hooks;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_NodeImpl_h
