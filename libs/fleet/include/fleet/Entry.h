#ifndef waxwingyoke_fleet_Entry_h
#define waxwingyoke_fleet_Entry_h

#include <memory>

#include <net/HttpClient.h>
#include <net/Runtime.h>
#include <platform/FleetCodecs.h>
#include <platform/FleetSettings.h>
#include <platform/KeyedLog.h>
#include <platform/RequestDialect.h>
#include <utils/Error.h>

namespace waxwingyoke::fleet {

/**
 * The adapters through which a process of the fleet uses the platform; owned by
 * main.
 */
struct FleetPorts
{
  net::HttpClient& client;
  platform::KeyedLog& log;
  platform::FleetCodecs codecs;
  const platform::RequestDialect* dialect = nullptr;
};

/**
 * The entry is the ingress proxy role: it accepts callers' requests and sends
 * each directly to an upstream. Owned by main; used by one thread.
 */
class Entry
{
public:
  Entry(net::Runtime& aRuntime,
        const platform::FleetSettings& aSettings,
        FleetPorts aPorts);
  ~Entry();

  /**
   * Opens the ports and starts to follow the platform's topics; false with
   * aReason set if the settings lack an address or a port can't be opened.
   */
  bool Start(utils::Error& aReason);

  /**
   * Accepts no new callers; blocks until running requests have finished or the
   * grace period ends.
   */
  void Drain();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_Entry_h
