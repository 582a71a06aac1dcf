#ifndef waxwingyoke_soak_Callers_h
#define waxwingyoke_soak_Callers_h

#include <random>
#include <string>
#include <vector>

#include "Ledger.h"
#include "SoakBed.h"

namespace waxwingyoke::soak {

/**
 * Callers that send one request after the other over connections that they
 * keep, to any entry whose process is there.
 */
class Callers
{
public:
  Callers(SoakBed& aBed, Ledger& aLedger)
    : bed_(aBed)
    , ledger_(aLedger)
  {
  }

  void Start(net::Runtime& aRuntime, int aCount);
  /** Returns when the last request has ended. */
  void Stop();

  /** Keys that may be used; one that was revoked is still used at times. */
  std::vector<std::string> keys;

  /** Sends one request and notes it; its status. */
  int Send(RouteKind aRoute, std::size_t aEntry, const std::string& aKey);

private:
  void Loop(std::uint64_t aSeed);

  SoakBed& bed_;
  Ledger& ledger_;
  net::HttpClient client_;
  utils::Clock clock_;
  std::uint64_t sent_ = 0;
  int running_ = 0;
  bool stopping_ = false;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_Callers_h
