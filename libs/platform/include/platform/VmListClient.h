#ifndef waxwingyoke_platform_VmListClient_h
#define waxwingyoke_platform_VmListClient_h

#include <optional>
#include <string>

#include <net/HttpClient.h>
#include <schema/control.pb.h>
#include <utils/Error.h>

namespace waxwingyoke::platform {

/** One look at the list. */
struct VmListLook
{
  /** False: it is what the tag stands for, and `list` is empty. */
  bool changed = true;
  schema::VmList list;
  /** Empty where the platform gives none. */
  std::string tag;
};

/** Reads the platform's list of VMs, which lags behind the truth. */
class VmListClient
{
public:
  VmListClient(net::HttpClient& aClient, net::Endpoint aService);

  std::optional<schema::VmList> Read(utils::Error& aReason);

  /** Reads it only if it is not what aTag, of an earlier look, stands for. */
  std::optional<VmListLook> Look(const std::string& aTag,
                                 utils::Error& aReason);

private:
  net::HttpClient& client_;
  net::Endpoint service_;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_VmListClient_h
