#include "PlatformClients.h"

#include <schema/SettingsReader.h>

#include "Output.h"

namespace waxwingyoke::tool {

int
RunWithPlatformClients(
  const std::string& aSettingsFile,
  const std::function<int(const PlatformClients&)>& aCommand)
{
  schema::ToolSettings settings;
  utils::Error reason;
  if (!schema::ReadSettingsFile(aSettingsFile, settings, reason)) {
    return Fail(reason);
  }
  auto logEndpoint = net::Endpoint::Parse(settings.platform().log());
  auto vmListEndpoint = net::Endpoint::Parse(settings.platform().vm_list());
  if (!logEndpoint || !vmListEndpoint) {
    reason.Set(utils::ErrorKind::BadSettings,
               aSettingsFile + ": 'log' and 'vm_list' must be IP:port");
    return Fail(reason);
  }
  net::Runtime runtime(1);
  return runtime.Run([&] {
    net::HttpClient httpClient;
    rpc::RpcClient rpcClient(httpClient, settings.secret());
    platform::LogClient log(httpClient, *logEndpoint);
    platform::VmListClient vmList(httpClient, *vmListEndpoint);
    return aCommand({ httpClient, rpcClient, log, vmList, settings });
  });
}

} // namespace waxwingyoke::tool
