#ifndef waxwingyoke_burst_Agent_h
#define waxwingyoke_burst_Agent_h

#include <cstdint>
#include <string>

namespace waxwingyoke::burst {

/** One process of a baseline. */
struct AgentOptions
{
  std::string listen;
  /** Where every chunk comes from. */
  std::string source;
  std::string version;
  std::uint64_t linkBytesPerSecond = 0;
};

/** Fetches the version from its one source and serves it, until killed. */
int
RunAgent(const AgentOptions& aOptions);

} // namespace waxwingyoke::burst

#endif // waxwingyoke_burst_Agent_h
