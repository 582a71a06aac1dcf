#ifndef waxwingyoke_waxwingyoke_Platform_h
#define waxwingyoke_waxwingyoke_Platform_h

#include <functional>
#include <string>

#include <net/HttpClient.h>
#include <net/Runtime.h>
#include <platform/LogClient.h>
#include <platform/VmListClient.h>
#include <rpc/RpcClient.h>
#include <schema/settings.pb.h>

namespace waxwingyoke::tool {

/** What a command that talks to the platform is given. */
struct Platform
{
  net::HttpClient& httpClient;
  rpc::RpcClient& rpcClient;
  platform::LogClient& log;
  platform::VmListClient& vmList;
  const schema::ToolSettings& settings;
};

/** Reads the tool's settings and runs aCommand in a fiber. */
int
RunOnPlatform(const std::string& aSettingsFile,
              const std::function<int(const Platform&)>& aCommand);

} // namespace waxwingyoke::tool

#endif // waxwingyoke_waxwingyoke_Platform_h
