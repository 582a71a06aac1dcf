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
  auto result = ReadIfChanged("", aReason);
  if (!result) {
    return std::nullopt;
  }
  return std::move(result->list);
}

std::optional<VmListResult>
VmListClient::ReadIfChanged(const std::string& aTag, utils::Error& aReason)
{
  constexpr int kOk = 200;
  constexpr int kNotModified = 304;
  // Some hundred bytes a VM.
  constexpr std::size_t kMaxListBytes = 8 << 20;
  net::HttpRequest request;
  request.target = "/vms";
  if (!aTag.empty()) {
    request.fields.Set("If-None-Match", aTag);
  }
  net::CallOptions options;
  options.maxBodyBytes = kMaxListBytes;
  auto response = client_.Call(service_, request, {}, aReason, options);
  if (!response) {
    return std::nullopt;
  }
  VmListResult result;
  result.tag = response->fields.Find("ETag");
  if (response->status == kNotModified) {
    result.changed = false;
    result.tag = aTag;
    return result;
  }
  if (response->status != kOk ||
      !schema::FromJson(response->body, result.list, aReason)) {
    aReason.Set(utils::ErrorKind::UpstreamFailed,
                "the VM list answered " + std::to_string(response->status));
    return std::nullopt;
  }
  return result;
}

} // namespace waxwingyoke::platform
