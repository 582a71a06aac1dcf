#ifndef waxwingyoke_waxwingyoke_PlatformClients_h
#define waxwingyoke_waxwingyoke_PlatformClients_h

#include <functional>
#include <string>

#include <net/HttpClient.h>
#include <net/Runtime.h>
#include <platform/LogClient.h>
#include <platform/VmListClient.h>
#include <rpc/RpcClient.h>
#include <schema/settings.pb.h>

namespace waxwingyoke::tool {

/** Clients of the platform's services and of the nodes, with the settings. */
struct PlatformClients
{
  net::HttpClient& httpClient;
  rpc::RpcClient& rpcClient;
  platform::LogClient& log;
  platform::VmListClient& vmList;
  const schema::ToolSettings& settings;
};

/**
 * Reads the tool's settings and runs aCommand with the clients in a fiber.
 * Returns the exit code of aCommand, or that of unusable settings.
 */
int
RunWithPlatformClients(
  const std::string& aSettingsFile,
  const std::function<int(const PlatformClients&)>& aCommand);

} // namespace waxwingyoke::tool

#endif // waxwingyoke_waxwingyoke_PlatformClients_h
