#ifndef waxwingyoke_weights_PermitHolder_h
#define waxwingyoke_weights_PermitHolder_h

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "PermitExpiryTracker.h"
#include "RolloutLog.h"
#include "Swarm.h"

namespace waxwingyoke::weights {

/**
 * Requests, checks and releases this process's switch-over permits in the log.
 * Used by one fiber.
 */
class PermitHolder
{
public:
  PermitHolder(const ReplicatorContext& aContext, RolloutLog& aLog);

  /**
   * Whether this VM may be taken out of service for that revision now. Requests
   * a permit where there is no request yet, releases expired permits of
   * others, and checks that enough sides stay ready. May suspend the fiber.
   */
  bool Poll(const schema::Profile& aProfile, utils::Error& aReason);

  /** The delay until the next Poll after one that returned false. */
  utils::Millis GetRetryDelay(const schema::Profile& aProfile) const;

  /** Whether the permit that Poll confirmed has not expired. */
  bool IsValid() const;

  /** Releases the permit or withdraws the request. May suspend the fiber. */
  void Release();

  /**
   * Retries releases that were not appended to the log; otherwise others would
   * wait until the permits expire. May suspend the fiber.
   */
  void FlushReleases();

private:
  /** A request or permit that is to be released. */
  struct PendingRelease
  {
    std::string profile;
    std::uint64_t revision = 0;
  };

  void BeginRequest(const schema::Profile& aProfile);
  bool CompleteRelease(const PendingRelease& aPending);
  bool Request(const schema::Profile& aProfile, utils::Error& aReason);
  bool SendRelease(const std::string& aProfile, const Permit& aPermit);
  void ReleaseExpired(const std::string& aProfile);
  bool KeepsMinReady(const schema::Profile& aProfile) const;
  const Permit* FindOwn(const std::string& aProfile,
                        std::uint64_t aRevision) const;

  const ReplicatorContext context_;
  RolloutLog& log_;
  PermitExpiryTracker expiry_;
  utils::Clock clock_;
  /** The profile of the current request; empty where there is none. */
  std::string profile_;
  std::uint64_t revision_ = 0;
  /** Whether the log confirmed the request's append. */
  bool isRequested_ = false;
  /** The latest time at which the permit was certainly not granted yet. */
  utils::Millis notGrantedAt_;
  std::optional<utils::Millis> deadline_;
  std::vector<PendingRelease> pendingReleases_;
};

/**
 * The number of sides that serve the profile and stay in service: aVm, sides
 * that are leaving and holders of granted permits are not counted.
 */
std::size_t
CountReadyOthers(const membership::View& aView,
                 const std::string& aProfile,
                 const std::string& aVm,
                 const std::vector<Permit>& aPermits);

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_PermitHolder_h
