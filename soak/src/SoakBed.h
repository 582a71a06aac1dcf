#ifndef waxwingyoke_soak_SoakBed_h
#define waxwingyoke_soak_SoakBed_h

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <StandIn.h>
#include <bed/AddressBlock.h>
#include <bed/Process.h>
#include <fakes.pb.h>
#include <net/HttpClient.h>

namespace waxwingyoke::soak {

struct BedOptions
{
  std::uint64_t seed = 1;
  unsigned entries = 3;
  /** Each beside an engine. */
  unsigned sides = 3;
  unsigned plain = 2;
};

/** One of our processes. */
struct Daemon
{
  std::string role;
  unsigned host = 0;
  std::string settings;
  std::unique_ptr<bed::Process> process;
};

/**
 * Entries and sides as processes, stand-ins of the platform in this process,
 * and a proxy process before each stand-in, on loopback addresses.
 */
class SoakBed
{
public:
  static std::unique_ptr<SoakBed> Make(net::Runtime& aRuntime,
                                       const BedOptions& aOptions,
                                       utils::Error& aReason);
  ~SoakBed();

  /** Starts the daemon anew; its log goes on. */
  bool StartDaemon(Daemon& aDaemon, utils::Error& aReason);

  net::Endpoint GetCallerEndpoint(const Daemon& aEntry) const;

  /** Publishes a new configuration with keysInForce. */
  void Publish();
  void NameVersion();
  std::uint64_t GetVersion() const { return namedVersion_; }

  /** Tells the directory what has changed of the upstreams. */
  void Register();
  void SetDraining(std::size_t aUpstream, bool aDraining);

  /** The proxy's links, by the address that they listen on. */
  const std::vector<std::string>& GetLinks() const { return links_; }
  bool SetLink(const fakes::LinkFaults& aFaults);

  int CountRuns(const std::string& aId) const;

  adapter::LogStandIn log;
  adapter::OriginStandIn origin;
  /** Engines first, then plain services. */
  std::vector<std::unique_ptr<adapter::UpstreamStandIn>> upstreams;
  std::vector<Daemon> entries;
  std::vector<Daemon> sides;
  /** The organisation's keys, oldest first. */
  std::vector<std::string> keysInForce;
  const BedOptions options;

private:
  SoakBed(const BedOptions& aOptions, utils::Error& aReason);

  net::Endpoint At(unsigned aHost, std::uint16_t aPort) const;
  bool StartUpstreams(net::Runtime& aRuntime);
  bool StartProxy(utils::Error& aReason);
  bool StartDaemons(utils::Error& aReason);
  void AddLink(const net::Endpoint& aTarget);

  std::unique_ptr<bed::AddressBlock> block_;
  std::filesystem::path folder_;
  net::HttpClient client_;
  std::unique_ptr<bed::Process> proxy_;
  std::vector<std::string> links_;
  std::vector<std::string> linkArguments_;
  std::vector<std::string> registered_;
  std::vector<bool> draining_;
  int configVersion_ = 0;
  std::uint64_t namedVersion_ = 1;
};

} // namespace waxwingyoke::soak

#endif // waxwingyoke_soak_SoakBed_h
