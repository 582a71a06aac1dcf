#include <membership/Node.h>

#include <algorithm>
#include <mutex>
#include <utility>

#include <telemetry/Metrics.h>
#include <utils/Hash.h>

#include "NodeImpl.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// Changes that arrive within this time are published as one view.
constexpr Millis kViewBatchDelay(10);
constexpr Millis kMinSuspicion(2000);
constexpr Millis kMaxSuspicion(20000);
constexpr Millis kIdleWait(60000);
// Enough to distinguish the incarnations of one VM; kept short because each
// message carries it.
constexpr std::size_t kDirectoryIdLength = 8;

} // namespace

Node::Impl::Impl(net::Runtime& aRuntime,
                 const schema::DaemonSettings& aSettings,
                 std::string aIncarnation,
                 platform::LogClient& aLog,
                 platform::VmListClient& aVmList,
                 rpc::RpcClient& aRpc)
  : runtime(aRuntime)
  , settings(aSettings)
  , self(aSettings.node().vm())
  , incarnation(std::move(aIncarnation))
  , directoryId(incarnation.substr(0, kDirectoryIdLength))
  , log(aLog)
  , vmList(aVmList)
  , rpc(aRpc)
  , random(utils::StableHash(incarnation))
  , resyncRotation(random())
{
  status.set_vm(self);
  status.set_incarnation(incarnation);
  status.set_started_ms(utils::GetWallTime().value);
  status.set_sequence(1);
  directory.SetOwnRow(MakeOwnRow());
  Publish();
}

schema::DirectoryRow
Node::Impl::MakeOwnRow() const
{
  schema::DirectoryRow row;
  const auto& node = settings.node();
  auto& vm = *row.mutable_vm();
  vm.set_id(node.vm());
  vm.set_address(node.address());
  vm.set_control_port(node.control_port());
  vm.set_role(node.role());
  vm.set_data_centre(node.data_centre());
  vm.set_region(node.region());
  *row.mutable_status() = status;
  return row;
}

void
Node::Impl::Publish()
{
  auto next = std::make_shared<View>();
  auto current = view.Get();
  {
    Lock lock(mutex);
    isDirty = false;
    next->config = current->config;
    // A new process folds through states that were replaced long ago. It must
    // not act on them before it has reached the log's end once.
    bool isCurrent = store.GetAge(clock.Now()).has_value();
    if (isCurrent && store.GetNextOffset() != current->config->nextOffset) {
      next->config = store.GetReplay().GetFold().GetConfig();
    }
    status.set_config_offset(next->config->nextOffset);
    directory.UpdateOwnStatus(status);
    next->members = directory.GetMembers();
  }
  view.Set(next);
  static auto& sOffset =
    telemetry::Metrics::Get().GetGauge("config_next_offset");
  static auto& sMembers = telemetry::Metrics::Get().GetGauge("members");
  sOffset.Set(static_cast<std::int64_t>(next->config->nextOffset));
  sMembers.Set(static_cast<std::int64_t>(next->members.size()));
  if (next->config != current->config) {
    logger.Info(
      "config in force",
      { { "next_offset", std::to_string(next->config->nextOffset) } });
  }
  std::ranges::for_each(hooks, [&next](const ViewHook& aHook) { aHook(next); });
}

void
Node::Impl::RunViews()
{
  for (;;) {
    {
      Lock lock(mutex);
      if (!isDirty) {
        WaitForChange(lock, kIdleWait);
      }
    }
    net::Runtime::Sleep(kViewBatchDelay);
    bool isChanged = false;
    {
      Lock lock(mutex);
      isChanged = isDirty;
    }
    if (isChanged) {
      Publish();
    }
    // CatchUp waits for a view with a certain offset.
    changed.notify_all();
  }
}

TreePosition
Node::Impl::GetTreePosition()
{
  auto members = view.Get();
  auto now = clock.Now();
  Lock lock(mutex);
  return FindTreePosition(
    members->members,
    self,
    settings.control().relays(),
    [this, now](const std::string& aVm) { return IsSuspect(aVm, now); });
}

bool
Node::Impl::IsSuspect(const std::string& aVm, Millis aNow) const
{
  auto found = suspects.find(aVm);
  return found != suspects.end() && found->second.until > aNow;
}

void
Node::Impl::MarkSuspect(const std::string& aVm)
{
  Lock lock(mutex);
  auto& suspicion = suspects[aVm];
  suspicion.span = std::clamp(suspicion.span * 2, kMinSuspicion, kMaxSuspicion);
  std::uniform_int_distribution<std::int64_t> spread(suspicion.span.value / 2,
                                                     suspicion.span.value);
  suspicion.until = clock.Now() + Millis(spread(random));
}

void
Node::Impl::ClearSuspect(const std::string& aVm)
{
  Lock lock(mutex);
  suspects.erase(aVm);
}

Millis
Node::Impl::Jitter(Millis aSpan)
{
  Lock lock(mutex);
  std::uniform_int_distribution<std::int64_t> spread(aSpan.value / 2,
                                                     aSpan.value);
  return Millis(spread(random));
}

void
Node::Impl::WaitForChange(Lock& aLock, Millis aTime)
{
  changed.wait_for(aLock, aTime.ToChrono());
}

net::Endpoint
Node::Impl::FindEndpoint(const std::string& aVm) const
{
  auto current = view.Get();
  const auto* member = current->FindMember(aVm);
  return member ? member->GetControlEndpoint() : net::Endpoint();
}

Node::Node(net::Runtime& aRuntime,
           const schema::DaemonSettings& aSettings,
           std::string aIncarnation,
           platform::LogClient& aLog,
           platform::VmListClient& aVmList,
           rpc::RpcClient& aRpc)
  : impl_(std::make_unique<Impl>(aRuntime,
                                 aSettings,
                                 std::move(aIncarnation),
                                 aLog,
                                 aVmList,
                                 aRpc))
{
}

Node::~Node() = default;

void
Node::AddMethods(rpc::RpcServer& aServer)
{
  impl_->AddMethods(aServer);
}

void
Node::OnView(ViewHook aHook)
{
  impl_->hooks.push_back(std::move(aHook));
}

void
Node::Start()
{
  auto* impl = impl_.get();
  impl->runtime.Spawn([impl] { impl->RunViews(); });
  impl->runtime.Spawn([impl] {
    impl->ReadVmList(true);
    // Tree positions are computed from the view: leaves time to publish it.
    net::Runtime::Sleep(kViewBatchDelay * 5);
    net::Runtime::SpawnHere([impl] { impl->RunParentLink(); });
    net::Runtime::SpawnHere([impl] { impl->RunPushes(); });
    net::Runtime::SpawnHere([impl] { impl->RunLogReader(); });
    net::Runtime::SpawnHere([impl] { impl->RunVmListReader(); });
    net::Runtime::SpawnHere([impl] { impl->RunResync(); });
    net::Runtime::SpawnHere([impl] { impl->RunSnapshotWriter(); });
  });
}

std::shared_ptr<const View>
Node::GetView() const
{
  return impl_->view.Get();
}

void
Node::UpdateStatus(const StatusHook& aHook)
{
  {
    Impl::Lock lock(impl_->mutex);
    auto next = impl_->status;
    aHook(next);
    bool needsPropagation = NeedsPropagation(impl_->status, next);
    if (needsPropagation) {
      next.set_sequence(next.sequence() + 1);
    }
    impl_->status = next;
    if (needsPropagation) {
      impl_->directory.SetOwnRow(impl_->MakeOwnRow());
    } else {
      impl_->directory.UpdateOwnStatus(next);
    }
    impl_->isDirty = true;
  }
  impl_->changed.notify_all();
}

const std::string&
Node::GetIncarnation() const
{
  return impl_->incarnation;
}

const schema::NodeSettings&
Node::GetSettings() const
{
  return impl_->settings.node();
}

bool
Node::CatchUp(std::uint64_t aNextOffset, Millis aWait)
{
  auto isReached = [this, aNextOffset] {
    return impl_->view.Get()->config->nextOffset >= aNextOffset;
  };
  if (isReached()) {
    return true;
  }
  auto* impl = impl_.get();
  auto deadline = impl->clock.Now() + aWait;
  impl->runtime.Spawn([impl] { impl->TryResync(); });
  Impl::Lock lock(impl->mutex);
  while (!isReached()) {
    auto remaining = deadline - impl->clock.Now();
    if (remaining <= Millis(0)) {
      return false;
    }
    impl->WaitForChange(lock, remaining);
  }
  return true;
}

} // namespace waxwingyoke::membership
