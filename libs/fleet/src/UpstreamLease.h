#ifndef waxwingyoke_fleet_UpstreamLease_h
#define waxwingyoke_fleet_UpstreamLease_h

#include <cstdint>
#include <optional>
#include <string>

#include <dispatch/UpstreamRegistry.h>

#include "EntryServices.h"

namespace waxwingyoke::fleet {

/**
 * Counts one request at one upstream for as long as it may run there. Releasing
 * the lease serves the requests that wait for a slot.
 */
class UpstreamLease
{
public:
  /** Counts aPromptTokens as unread until MarkPromptProcessed. */
  UpstreamLease(EntryServices& aServices,
                dispatch::UpstreamPointer aUpstream,
                std::uint32_t aPromptTokens);
  ~UpstreamLease();

  UpstreamLease(const UpstreamLease&) = delete;
  UpstreamLease& operator=(const UpstreamLease&) = delete;

  /**
   * Called right before the request is sent; false if the upstream's rate limit
   * leaves no send. The lease has one from its creation, which lapses if it is
   * not used at once or if the limit changes.
   */
  bool ClaimSend();

  /** Removes the prompt's tokens from the upstream's unread tokens. */
  void MarkPromptProcessed();

  dispatch::UpstreamState& GetUpstream() { return *upstream_; }
  const dispatch::UpstreamPointer& GetPointer() const { return upstream_; }

private:
  EntryServices& services_;
  dispatch::UpstreamPointer upstream_;
  std::uint32_t unreadTokens_;
  /** When a send was counted against the rate limit; empty: none is left. */
  std::optional<utils::Millis> permittedAt_;
  /** Order of the rate limit that it was counted against. */
  std::uint64_t permitOrder_ = 0;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_UpstreamLease_h
