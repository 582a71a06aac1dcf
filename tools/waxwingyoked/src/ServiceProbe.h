#ifndef waxwingyoke_waxwingyoked_ServiceProbe_h
#define waxwingyoke_waxwingyoked_ServiceProbe_h

#include <requests/Side.h>
#include <utils/RcuCell.h>

#include "DaemonContext.h"

namespace waxwingyoke::daemon {

/**
 * Polls the plain service beside this process over HTTP. While it answers, it
 * counts as serving the profile that selects this VM, and the node's status
 * says so. Owned by the side's role.
 */
class ServiceProbe
{
public:
  explicit ServiceProbe(const DaemonContext& aContext);

  void Start();

  /** What the service serves now, on any thread; an empty profile if none. */
  requests::Serving GetServing() const { return *serving_.Get(); }

private:
  void ProbeLoop();
  bool IsAnswering();
  /** The profile that selects this VM; empty if there is none. */
  requests::Serving GetAssignedProfile();
  void Publish(const requests::Serving& aServing);

  const DaemonContext& context_;
  utils::RcuCell<requests::Serving> serving_;
};

} // namespace waxwingyoke::daemon

#endif // waxwingyoke_waxwingyoked_ServiceProbe_h
