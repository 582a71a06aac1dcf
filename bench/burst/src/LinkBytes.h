#ifndef waxwingyoke_burst_LinkBytes_h
#define waxwingyoke_burst_LinkBytes_h

#include <cstdint>

#include <net/HttpClient.h>

namespace waxwingyoke::burst {

/** Bytes of chunks that a process sent and received, by its metrics. */
struct LinkBytes
{
  std::uint64_t up = 0;
  std::uint64_t down = 0;
  /** The part of down that was received from VMs of other regions. */
  std::uint64_t remote = 0;
};

/** Reads /metrics of a process; all zero if it does not answer. */
LinkBytes
ReadLinkBytes(net::HttpClient& aHttp, const net::Endpoint& aProcess);

} // namespace waxwingyoke::burst

#endif // waxwingyoke_burst_LinkBytes_h
