#ifndef waxwingyoke_waxwingyoked_Process_h
#define waxwingyoke_waxwingyoked_Process_h

#include <membership/Node.h>
#include <net/HttpClient.h>
#include <net/Runtime.h>
#include <platform/LogClient.h>
#include <platform/VmListClient.h>
#include <rpc/RpcClient.h>
#include <schema/settings.pb.h>

namespace waxwingyoke::daemon {

/** What both roles of the daemon are built on; owned by main. */
struct Process
{
  net::Runtime& runtime;
  const schema::DaemonSettings& settings;
  net::HttpClient& httpClient;
  rpc::RpcClient& rpcClient;
  platform::LogClient& log;
  membership::Node& node;
};

} // namespace waxwingyoke::daemon

#endif // waxwingyoke_waxwingyoked_Process_h
