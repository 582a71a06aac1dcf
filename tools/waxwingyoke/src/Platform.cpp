#include "Platform.h"

#include <schema/SettingsReader.h>

#include "Output.h"

namespace waxwingyoke::tool {

int
RunOnPlatform(const std::string& aSettingsFile,
              const std::function<int(const Platform&)>& aCommand)
{
  schema::ToolSettings settings;
  utils::Error reason;
  if (!schema::ReadSettingsFile(aSettingsFile, settings, reason)) {
    return Fail(reason);
  }
  auto endpoint = net::Endpoint::Parse(settings.platform().log());
  if (!endpoint) {
    reason.Set(utils::ErrorKind::BadSettings,
               aSettingsFile + ": 'log' must be IP:port");
    return Fail(reason);
  }
  net::Runtime runtime(1);
  return runtime.Run([&] {
    net::HttpClient httpClient;
    platform::LogClient log(httpClient, *endpoint);
    return aCommand({ httpClient, log, settings });
  });
}

} // namespace waxwingyoke::tool
