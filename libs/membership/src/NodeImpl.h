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
#include "HealingTurns.h"
#include "Tree.h"

namespace waxwingyoke::membership {

/** What is known of one neighbour's process. */
struct Neighbour
{
  /** The neighbour's directory, new with each of its incarnations. */
  std::string directoryId;
  /** Up to which change of its directory we have it. */
  std::uint64_t received = 0;
  /** Up to which change of our directory it has it. */
  std::uint64_t acknowledged = 0;
};

/** A neighbour that failed, and until when it is passed over. */
struct Suspicion
{
  utils::Millis until;
  utils::Millis span;
};

/** What a node asks another for. */
enum class SyncPart
{
  All,
  Records,
  Rows
};

/**
 * The state of one node and its fibers. Each fiber's part stands in a file
 * of its own: LogReader, ParentLink, SyncMethods, VmListReader, Healing and
 * SnapshotWriter.
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
  Place GetPlace();
  bool IsSuspect(const std::string& aVm, utils::Millis aNow) const;
  void Suspect(const std::string& aVm);
  void Trust(const std::string& aVm);
  /** A span between half and all of aSpan. */
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
  void TakeReply(const std::string& aVm, const schema::SyncReply& aReply);
  bool Push(const std::string& aVm);
  void MeetDirectory(const std::string& aVm, const std::string& aId);

  // SyncMethods.cpp
  void AddMethods(rpc::RpcServer& aServer);
  void AnswerSync(const schema::SyncRequest& aRequest,
                  schema::SyncReply& aReply);
  void AnswerPush(const schema::PushRequest& aRequest,
                  schema::PushReply& aReply);
  void AnswerStatus(schema::StatusReply& aReply);
  bool FillSync(const schema::SyncRequest& aRequest, schema::SyncReply& aReply);
  void WaitForNews(const schema::SyncRequest& aRequest, Lock& aLock);

  // VmListReader.cpp
  void RunVmListReader();
  bool ReadVmList(bool aAsHint);

  // Healing.cpp
  void RunHealing();
  void TryHealing();
  void PullFrom(const std::string& aVm);
  std::string PickOther();

  // SnapshotWriter.cpp
  void RunSnapshotWriter();
  void WriteSnapshot();

  net::Runtime& runtime;
  const schema::DaemonSettings settings;
  const std::string self;
  const std::string incarnation;
  /** Names this process's directory: the incarnation's beginning. */
  const std::string directoryId;
  platform::LogClient& log;
  platform::VmListClient& vmList;
  rpc::RpcClient& rpc;
  telemetry::Logger logger{ "membership" };
  utils::Clock clock;

  mutable boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  // All below is guarded by the mutex.
  ConfigStore store;
  Directory directory;
  schema::NodeStatus status;
  std::map<std::string, Neighbour> neighbours;
  std::map<std::string, Suspicion> suspects;
  std::mt19937_64 random;
  HealingTurns healingTurns;
  bool isDirty = true;

  // The VM list reader's own.
  std::string listTag;
  std::int64_t listBytes = 0;

  std::atomic<bool> pulling{ false };
  /** Whether the last read of the log worked. */
  std::atomic<bool> readsLog{ false };
  utils::RcuCell<View> view;
  std::vector<ViewHook> hooks;
};

} // namespace waxwingyoke::membership

#endif // waxwingyoke_membership_NodeImpl_h
