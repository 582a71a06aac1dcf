#ifndef waxwingyoke_platform_VmListClient_h
#define waxwingyoke_platform_VmListClient_h

#include <optional>

#include <net/HttpClient.h>
#include <schema/control.pb.h>
#include <utils/Error.h>

namespace waxwingyoke::platform {

/** Reads the platform's list of VMs, which lags behind the truth. */
class VmListClient
{
public:
  VmListClient(net::HttpClient& aClient, net::Endpoint aService);

  std::optional<schema::VmList> Read(utils::Error& aReason);

private:
  net::HttpClient& client_;
  net::Endpoint service_;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_VmListClient_h
