#ifndef waxwingyoke_waxwingyoked_ServiceProbe_h
#define waxwingyoke_waxwingyoked_ServiceProbe_h

#include <requests/Side.h>
#include <utils/RcuCell.h>

#include "Process.h"

namespace waxwingyoke::daemon {

/**
 * Watches the plain service beside this process: it serves the profile that
 * selects this VM for as long as it answers HTTP. Owned by the side's role.
 */
class ServiceProbe
{
public:
  explicit ServiceProbe(const Process& aProcess);

  void Start();

  /** What the service serves now; an empty profile where it does not. */
  requests::Serving GetServing() const { return *serving_.Get(); }

private:
  void Loop();
  bool IsAnswering();
  requests::Serving FindServing();
  void Publish(const requests::Serving& aServing);

  const Process& process_;
  utils::RcuCell<requests::Serving> serving_;
};

} // namespace waxwingyoke::daemon

#endif // waxwingyoke_waxwingyoked_ServiceProbe_h
