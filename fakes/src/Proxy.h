#ifndef waxwingyoke_fakes_Proxy_h
#define waxwingyoke_fakes_Proxy_h

#include <string>
#include <vector>

namespace waxwingyoke::fakes {

/** What the proxy stands between. */
struct ProxyOptions
{
  /** IP:PORT of the control path. */
  std::string control;
  /** LISTEN=TARGET, both IP:PORT. */
  std::vector<std::string> links;
  std::uint64_t seed = 1;
};

/**
 * Runs the fault-injecting TCP proxy until a signal; its exit code. Faults
 * of links are switched by POST /links, counters shown by GET /links.
 */
int
RunProxy(const ProxyOptions& aOptions);

} // namespace waxwingyoke::fakes

#endif // waxwingyoke_fakes_Proxy_h
