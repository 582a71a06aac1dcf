#ifndef waxwingyoke_fakes_Proxy_h
#define waxwingyoke_fakes_Proxy_h

#include <string>
#include <vector>

namespace waxwingyoke::fakes {

/** Configuration of the fault-injecting TCP proxy. */
struct ProxyOptions
{
  /** IP:PORT of the HTTP control interface. */
  std::string control;
  /** Links as LISTEN=TARGET, both IP:PORT. */
  std::vector<std::string> links;
  std::uint64_t seed = 1;
};

/**
 * Runs the fault-injecting TCP proxy until the process receives a signal;
 * returns the exit code. POST /links sets the faults of links, GET
 * /links/LISTEN returns a link's counters.
 */
int
RunProxy(const ProxyOptions& aOptions);

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_Proxy_h
