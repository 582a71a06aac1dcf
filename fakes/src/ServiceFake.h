#ifndef waxwingyoke_fakes_ServiceFake_h
#define waxwingyoke_fakes_ServiceFake_h

#include <map>
#include <string>

#include "Upstream.h"

namespace waxwingyoke::fakes {

/** A plain service: counts how often each call ran, and repeats its body's
 * digest. */
class ServiceFake
{
public:
  ServiceFake(Upstream& aUpstream, FaultGate& aGate);

private:
  void Run(const net::HttpRequest& aRequest, net::ResponseWriter& aWriter);

  Upstream& upstream_;
  FaultGate& gate_;
  // Kept over crashes: it stands for what the service's callers see.
  std::map<std::string, std::uint64_t> runs_;
};

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_ServiceFake_h
