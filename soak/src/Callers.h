#ifndef waxwingyoke_soak_Callers_h
#define waxwingyoke_soak_Callers_h

#include <random>
#include <string>
#include <vector>

#include "InvariantChecker.h"
#include "SoakBed.h"

namespace waxwingyoke::soak {

/**
 * Callers that each send one request at a time over persistent connections, to
 * a randomly drawn entry. Results go to the InvariantChecker.
 */
class Callers
{
public:
  Callers(SoakBed& aBed, InvariantChecker& aChecker)
    : bed_(aBed)
    , checker_(aChecker)
  {
  }

  /** Starts aCount callers, each in a fiber with its own random sequence. */
  void Start(net::Runtime& aRuntime, int aCount);
  /** Stops all callers; blocks the fiber until the last request has ended. */
  void Stop();

  /** Keys that requests use; recently revoked keys stay among them. */
  std::vector<std::string> keys;

  /** Sends one request and records it; returns its status, 0: no answer. */
  int Send(RouteKind aRoute, std::size_t aEntry, const std::string& aKey);

  /**
   * Sends a stream's request whose prompt has these parts before its own, as
   * ID:TOKENS, and records it.
   */
  Attempt SendPrompt(std::size_t aEntry,
                     const std::string& aKey,
                     const std::string& aParts);

private:
  Attempt SendWithParts(RouteKind aRoute,
                        std::size_t aEntry,
                        const std::string& aKey,
                        const std::string& aParts);
  void SendRequests(std::uint64_t aSeed);

  SoakBed& bed_;
  InvariantChecker& checker_;
  net::HttpClient client_;
  utils::Clock clock_;
  std::uint64_t sent_ = 0;
  int running_ = 0;
  bool stopping_ = false;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_Callers_h
