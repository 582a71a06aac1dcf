#ifndef waxwingyoke_dispatch_UpstreamState_h
#define waxwingyoke_dispatch_UpstreamState_h

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <dispatch/SharedRateLimit.h>
#include <dispatch/UpstreamHealth.h>
#include <platform/Upstream.h>
#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** Load that one entry has at one upstream. */
struct UseCount
{
  std::uint32_t running = 0;
  /** Prompt tokens of those that have not sent their first event. */
  std::uint32_t unreadTokens = 0;

  bool operator==(const UseCount&) const = default;
};

/** Load that another entry reports at an upstream. */
struct EntryUse
{
  /** Stable hash of the upstream's id. */
  std::uint64_t upstream = 0;
  UseCount use;
};

/** State that a side (the sidecar of one upstream) reports of its upstream. */
struct SideReport
{
  /** The version of the weights that it serves; 0: none. */
  std::uint64_t version = 0;
  bool accepting = true;
  /** See EngineLoad. */
  double pace = 1;
};

/** State that this entry holds of one upstream. */
struct UpstreamState
{
  platform::Upstream record;
  std::uint64_t hash = 0;
  /** Region of its data centre; empty if that has none. */
  std::string region;
  /** This entry's own requests. */
  UseCount own;
  /** Load of the other entries by their id, and its sum. */
  std::map<std::string, UseCount> others;
  UseCount othersSum;
  /** When the number of requests here last changed, as far as reported. */
  utils::Millis useChangedAt;
  UpstreamHealth health;
  std::optional<SideReport> side;
  utils::Millis sideReportedAt;
  /**
   * The reported version of its weights is treated as stale until this time,
   * or until the directory or its side reports again.
   */
  utils::Millis staleUntil;
  /** It announced its exit; no new work until it starts anew. */
  bool leaving = false;
  /** When this entry itself observed that; empty if another entry did. */
  std::optional<utils::Millis> leaveObservedAt;
  /** It asked this entry to send nothing until then. */
  utils::Millis pausedUntil;
  SharedRateLimit rateLimit;
  /**
   * Its directory entry is missing, but may only have expired while the log was
   * unavailable.
   */
  bool inDoubt = false;
  /** Its data centre is evacuated; see UpstreamRegistry::SetEvacuated. */
  bool evacuated = false;

  /** Load of all entries. */
  UseCount GetUse() const;
  /** Replaces aEntry's load; an entry with no running request is removed. */
  void SetEntryUse(const std::string& aEntry,
                   const UseCount& aUse,
                   utils::Millis aNow);
};

using UpstreamPointer = std::shared_ptr<UpstreamState>;

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_UpstreamState_h
