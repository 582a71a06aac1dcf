#ifndef waxwingyoke_platform_VmListClient_h
#define waxwingyoke_platform_VmListClient_h

#include <optional>
#include <string>

#include <net/HttpClient.h>
#include <schema/control.pb.h>
#include <utils/Error.h>

namespace waxwingyoke::platform {

/** Result of a conditional read of the VM list. */
struct VmListResult
{
  /** False: the list still has the given tag, and `list` is empty. */
  bool changed = true;
  schema::VmList list;
  /** The list's ETag; empty where the platform sets none. */
  std::string tag;
};

/** Reads the platform's list of VMs, which lags behind their actual state. */
class VmListClient
{
public:
  VmListClient(net::HttpClient& aClient, net::Endpoint aService);

  std::optional<schema::VmList> Read(utils::Error& aReason);

  /** Reads the list unless it still has aTag, the tag of an earlier result. */
  std::optional<VmListResult> ReadIfChanged(const std::string& aTag,
                                            utils::Error& aReason);

private:
  net::HttpClient& client_;
  net::Endpoint service_;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_VmListClient_h
