#ifndef waxwingyoke_burst_Agent_h
#define waxwingyoke_burst_Agent_h

#include <cstdint>
#include <string>

namespace waxwingyoke::burst {

/** Options of one VM's process in a baseline measurement. */
struct AgentOptions
{
  std::string listen;
  /** IP:PORT from which every chunk is fetched. */
  std::string source;
  std::string version;
  std::uint64_t linkBytesPerSecond = 0;
};

/** Fetches the version from its single source and serves it to others, until a
 * signal; returns the exit code. */
int
RunAgent(const AgentOptions& aOptions);

} // namespace waxwingyoke::burst

#endif // waxwingyoke_burst_Agent_h
