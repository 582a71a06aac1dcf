#include <platform/VmListClient.h>

#include <utility>

#include <schema/Json.h>

namespace waxwingyoke::platform {

VmListClient::VmListClient(net::HttpClient& aClient, net::Endpoint aService)
  : client_(aClient)
  , service_(std::move(aService))
{
}

std::optional<schema::VmList>
VmListClient::Read(utils::Error& aReason)
{
  constexpr int kOk = 200;
  net::HttpRequest request;
  request.target = "/vms";
  auto response = client_.Call(service_, request, {}, aReason);
  if (!response) {
    return std::nullopt;
  }
  schema::VmList list;
  if (response->status != kOk ||
      !schema::FromJson(response->body, list, aReason)) {
    aReason.Set(utils::ErrorKind::UpstreamFailed,
                "the VM list answered " + std::to_string(response->status));
    return std::nullopt;
  }
  return list;
}

} // namespace waxwingyoke::platform
