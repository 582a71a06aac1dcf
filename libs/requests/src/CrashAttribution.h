#ifndef waxwingyoke_requests_CrashAttribution_h
#define waxwingyoke_requests_CrashAttribution_h

#include <mutex>
#include <optional>

#include <schema/requests.pb.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

/**
 * Attributes a crash of the upstream to the requests that ran on it.
 *
 * The first crash strikes all requests that ran, which makes them suspects.
 * Only one suspect runs at a time: if the upstream crashes while it runs, the
 * suspect is convicted, and the requests that ran beside it are not struck.
 * Thread safe.
 */
class CrashAttribution
{
public:
  /** To be called when a suspect starts to run. */
  void EnterSuspect();
  /** To be called when it has ended; aCrashed if the upstream crashed. */
  void LeaveSuspect(bool aCrashed, utils::Millis aNow);

  /** The strike for a request that ran on the upstream when it crashed. */
  schema::Strike Classify(bool aSuspect, utils::Millis aNow);

private:
  // All requests that ran on an upstream detect its crash within this time.
  static constexpr utils::Millis kCrashReportWindow{ 5000 };

  std::mutex mutex_;
  int suspects_ = 0;
  std::optional<utils::Millis> convictedAt_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_CrashAttribution_h
