#ifndef waxwingyoke_waxwingyoked_DaemonContext_h
#define waxwingyoke_waxwingyoked_DaemonContext_h

#include <memory>

#include <membership/Node.h>
#include <net/HttpClient.h>
#include <net/RequestMemory.h>
#include <net/Runtime.h>
#include <platform/LogClient.h>
#include <platform/VmListClient.h>
#include <rpc/RpcClient.h>
#include <schema/settings.pb.h>

namespace waxwingyoke::daemon {

/** References to the services that both roles use; owned by main. */
struct DaemonContext
{
  net::Runtime& runtime;
  const schema::DaemonSettings& settings;
  net::HttpClient& httpClient;
  rpc::RpcClient& rpcClient;
  platform::LogClient& log;
  membership::Node& node;
  /** Shared by all servers of the process. */
  std::shared_ptr<net::RequestMemory> requestMemory;
};

} // namespace waxwingyoke::daemon

#endif // waxwingyoke_waxwingyoked_DaemonContext_h
