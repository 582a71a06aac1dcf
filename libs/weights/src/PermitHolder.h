#ifndef waxwingyoke_weights_PermitHolder_h
#define waxwingyoke_weights_PermitHolder_h

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "PermitClock.h"
#include "RolloutLog.h"
#include "Swarm.h"

namespace waxwingyoke::weights {

/** Asks for, watches and releases this process's permits. */
class PermitHolder
{
public:
  PermitHolder(const Services& aServices, RolloutLog& aLog);

  /**
   * Whether this VM may be taken out of service for that revision now. Asks
   * for a permit where none stands, frees those of others that are due, and
   * counts the sides that stay ready. May suspend.
   */
  bool Poll(const schema::Profile& aProfile, utils::Error& aReason);

  /** How long to wait after a Poll that was refused. */
  utils::Millis GetPause(const schema::Profile& aProfile) const;

  /** Whether the permit that Poll found may still be acted on. */
  bool IsValid() const;

  /** Gives the permit back, or the place in the queue; may suspend. */
  void Release();

  /**
   * Sends again the releases that the log did not take, so that others need
   * not wait until they may free the permits; may suspend.
   */
  void FlushReleases();

private:
  /** What was asked for and is no longer wanted. */
  struct Unwanted
  {
    std::string profile;
    std::uint64_t revision = 0;
  };

  void Begin(const schema::Profile& aProfile);
  bool ReleaseOne(const Unwanted& aUnwanted);
  bool Request(const schema::Profile& aProfile, utils::Error& aReason);
  bool SendRelease(const std::string& aProfile, const Permit& aPermit);
  void FreeExpired(const std::string& aProfile);
  bool KeepsMinimum(const schema::Profile& aProfile) const;
  const Permit* FindOwn(const std::string& aProfile,
                        std::uint64_t aRevision) const;

  const Services services_;
  RolloutLog& log_;
  PermitClock expiry_;
  utils::Clock clock_;
  /** What was asked for last; no name: nothing. */
  std::string profile_;
  std::uint64_t revision_ = 0;
  /** Whether the request is known to stand in the log. */
  bool isRequested_ = false;
  /** The last moment at which the permit was surely not granted. */
  utils::Millis notGrantedAt_;
  std::optional<utils::Millis> deadline_;
  std::vector<Unwanted> unwanted_;
};

/** Sides of a profile that serve, without aVm and the holders of permits. */
std::size_t
CountReadyOthers(const membership::View& aView,
                 const std::string& aProfile,
                 const std::string& aVm,
                 const std::vector<Permit>& aPermits);

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_PermitHolder_h
