#ifndef waxwingyoke_net_Traffic_h
#define waxwingyoke_net_Traffic_h

#include <telemetry/Metrics.h>

namespace waxwingyoke::net {

/** Counters of HTTP bytes as client and as server, headers included. */
struct Traffic
{
  telemetry::Counter& sent;
  telemetry::Counter& received;

  static Traffic& Get()
  {
    static Traffic sTraffic{
      telemetry::Metrics::Get().GetCounter("net_sent_bytes_total"),
      telemetry::Metrics::Get().GetCounter("net_received_bytes_total")
    };
    return sTraffic;
  }
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_Traffic_h
