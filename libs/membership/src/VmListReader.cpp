#include <algorithm>
#include <mutex>

#include "NodeImpl.h"

namespace waxwingyoke::membership {

namespace {

using utils::Millis;

// Read rate of one relay where the VM list has no tag and is transferred in
// full each time, in bytes of the binary form; JSON doubles them. A long list
// is read less often, and the other relays' reads fill the gaps.
constexpr std::int64_t kListBytesPerSecond = 512;
constexpr std::int64_t kMillisPerSecond = 1000;
constexpr Millis kNonRelayPause(500);
constexpr std::uint64_t kReadsPerFullRead = 300;

} // namespace

bool
Node::Impl::ReadVmList(bool aIsInitial)
{
  utils::Error reason;
  auto result = vmList.ReadIfChanged(listTag, reason);
  if (!result) {
    logger.Report(reason);
    return false;
  }
  listTag = result->tag;
  if (!result->changed) {
    return true;
  }
  {
    Lock lock(mutex);
    listBytes = static_cast<std::int64_t>(result->list.ByteSizeLong());
    if (aIsInitial) {
      directory.ApplyInitialList(result->list);
      isDirty = true;
    } else {
      bool isChanged = directory.ApplyVmList(result->list);
      isDirty = isDirty || isChanged;
    }
  }
  changed.notify_all();
  return true;
}

void
Node::Impl::RunVmListReader()
{
  std::uint64_t reads = 0;
  for (;;) {
    if (!GetTreePosition().relay) {
      net::Runtime::Sleep(kNonRelayPause);
      continue;
    }
    // The first full read replaces the initial list. Later ones remove VMs
    // again that a neighbour reintroduced because it was unreachable when the
    // list dropped them.
    if (reads++ % kReadsPerFullRead == 0) {
      listTag.clear();
    }
    ReadVmList(false);
    Millis pause(settings.control().vm_list_interval_ms());
    if (listTag.empty()) {
      Millis spread(listBytes * kMillisPerSecond / kListBytesPerSecond);
      pause = std::max(pause, spread);
    }
    net::Runtime::Sleep(Jitter(pause));
  }
}

} // namespace waxwingyoke::membership
