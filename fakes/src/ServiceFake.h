#ifndef waxwingyoke_fakes_ServiceFake_h
#define waxwingyoke_fakes_ServiceFake_h

#include <map>
#include <string>

#include "Upstream.h"

namespace waxwingyoke::fakes {

/**
 * Fake of a plain service: counts how often each call ran and answers with the
 * digest of the request's body.
 */
class ServiceFake
{
public:
  ServiceFake(Upstream& aUpstream, FaultInjector& aFaultInjector);

private:
  void Run(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);

  Upstream& upstream_;
  FaultInjector& faultInjector_;
  // Kept across simulated crashes, because the count represents effects that
  // are visible outside the service.
  std::map<std::string, std::uint64_t> runs_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_ServiceFake_h
