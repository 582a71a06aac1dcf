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

/** What a process of the fleet reaches the platform by; owned by main. */
struct FleetPorts
{
  net::HttpClient& client;
  platform::KeyedLog& log;
  platform::FleetCodecs codecs;
  const platform::RequestDialect* dialect = nullptr;
};

/**
 * Takes callers' requests and sends each straight to an upstream. Owned by
 * main; one thread.
 */
class Entry
{
public:
  Entry(net::Runtime& aRuntime,
        const platform::FleetSettings& aSettings,
        FleetPorts aPorts);
  ~Entry();

  /** Opens the ports and starts to follow the platform's topics. */
  bool Start(utils::Error& aReason);

  /** Takes no new callers; returns when what runs is finished. */
  void Drain();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_Entry_h
