#ifndef waxwingyoke_requests_Deaths_h
#define waxwingyoke_requests_Deaths_h

#include <mutex>
#include <optional>

#include <schema/requests.pb.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

/**
 * Judges the requests that ran on an upstream when it died.
 *
 * The first death strikes all that ran. A struck request, a suspect, then
 * runs alone among suspects; dies the upstream under it as well, it is
 * convicted and whoever ran beside it is not struck.
 */
class Deaths
{
public:
  /** A suspect got or gave back its slot. */
  void EnterSuspect();
  void LeaveSuspect(bool aDied, utils::Millis aNow);

  /** What the upstream's death now says of a request that ran on it. */
  schema::Strike Judge(bool aSuspect, utils::Millis aNow);

private:
  // All that ran on one upstream learn of its death within this time.
  static constexpr utils::Millis kSameDeath{ 5000 };

  std::mutex mutex_;
  int suspects_ = 0;
  std::optional<utils::Millis> convictedAt_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Deaths_h
